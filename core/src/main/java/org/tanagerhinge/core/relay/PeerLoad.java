package org.tanagerhinge.core.relay;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;

/** Gives servers the load that peers tell of. */
public final class PeerLoad {
    private static final PeerReport.Use NONE = new PeerReport.Use(0, 0);

    private final Function<String, RelayServer> servers;

    private PeerLoad(Function<String, RelayServer> servers) {
        this.servers = servers;
    }

    /** Returns the load of servers that are found by the names of their lives; null for those that aren't known. */
    public static PeerLoad of(Function<String, RelayServer> servers) {
        return new PeerLoad(servers);
    }

    /**
     * Takes what one peer's report has changed. Adding up all peers' at each report would cost a node of a large system the
     * square of their number.
     */
    public void changed(Map<String, PeerReport.Use> before, Map<String, PeerReport.Use> after) {
        before.forEach((life, use) -> change(life, -use.running(), -use.promptTokens()));
        after.forEach((life, use) -> change(life, use.running(), use.promptTokens()));
    }

    private void change(String life, int running, long promptTokens) {
        RelayServer server = servers.apply(life);
        if (server != null) {
            server.peersChanged(running, promptTokens);
        }
    }

    /** Takes the sums of all present peers; those that have fallen silent drop out. */
    public void sums(Collection<RelayServer> all, Map<String, PeerReport.Use> uses) {
        for (RelayServer server : all) {
            PeerReport.Use use = uses.getOrDefault(server.life(), NONE);
            server.peers(use.running(), use.promptTokens());
        }
    }
}
