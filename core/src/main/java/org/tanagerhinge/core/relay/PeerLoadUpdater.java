package org.tanagerhinge.core.relay;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;

/** Gives servers the load that peers tell of. */
public final class PeerLoadUpdater {
    private static final PeerReport.InstanceLoad NO_LOAD = new PeerReport.InstanceLoad(0, 0);

    private final Function<String, ServerInstance> serverByInstanceId;

    private PeerLoadUpdater(Function<String, ServerInstance> serverByInstanceId) {
        this.serverByInstanceId = serverByInstanceId;
    }

    /** Returns the load of servers that are found by the names of their lives; null for those that aren't known. */
    public static PeerLoadUpdater of(Function<String, ServerInstance> serverByInstanceId) {
        return new PeerLoadUpdater(serverByInstanceId);
    }

    /**
     * Takes what one peer's report has changed. Adding up all peers' at each report would cost a node of a large system the
     * square of their number.
     */
    public void applyChange(Map<String, PeerReport.InstanceLoad> before, Map<String, PeerReport.InstanceLoad> after) {
        before.forEach((instanceId, load) -> adjust(instanceId, -load.inFlight(), -load.pendingPrefillTokens()));
        after.forEach((instanceId, load) -> adjust(instanceId, load.inFlight(), load.pendingPrefillTokens()));
    }

    private void adjust(String instanceId, int inFlight, long pendingPrefillTokens) {
        ServerInstance server = serverByInstanceId.apply(instanceId);
        if (server != null) {
            server.adjustPeerLoad(inFlight, pendingPrefillTokens);
        }
    }

    /** Takes the sums of all present peers; those that have fallen silent drop out. */
    public void applyTotals(Collection<ServerInstance> servers, Map<String, PeerReport.InstanceLoad> loads) {
        for (ServerInstance server : servers) {
            PeerReport.InstanceLoad load = loads.getOrDefault(server.instanceId(), NO_LOAD);
            server.updatePeerLoad(load.inFlight(), load.pendingPrefillTokens());
        }
    }
}
