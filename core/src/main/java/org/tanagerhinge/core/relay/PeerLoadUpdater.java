package org.tanagerhinge.core.relay;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;

/** Gives servers the load that peers tell of. */
public final class PeerLoadUpdater {
    private static final PeerReport.InstanceLoad NONE = new PeerReport.InstanceLoad(0, 0);

    private final Function<String, ServerInstance> servers;

    private PeerLoadUpdater(Function<String, ServerInstance> servers) {
        this.servers = servers;
    }

    /** Returns the load of servers that are found by the names of their lives; null for those that aren't known. */
    public static PeerLoadUpdater of(Function<String, ServerInstance> servers) {
        return new PeerLoadUpdater(servers);
    }

    /**
     * Takes what one peer's report has changed. Adding up all peers' at each report would cost a node of a large system the
     * square of their number.
     */
    public void changed(Map<String, PeerReport.InstanceLoad> before, Map<String, PeerReport.InstanceLoad> after) {
        before.forEach((life, use) -> change(life, -use.running(), -use.promptTokens()));
        after.forEach((life, use) -> change(life, use.running(), use.promptTokens()));
    }

    private void change(String life, int running, long promptTokens) {
        ServerInstance server = servers.apply(life);
        if (server != null) {
            server.peersChanged(running, promptTokens);
        }
    }

    /** Takes the sums of all present peers; those that have fallen silent drop out. */
    public void sums(Collection<ServerInstance> all, Map<String, PeerReport.InstanceLoad> uses) {
        for (ServerInstance server : all) {
            PeerReport.InstanceLoad use = uses.getOrDefault(server.life(), NONE);
            server.peers(use.running(), use.promptTokens());
        }
    }
}
