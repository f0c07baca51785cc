package org.tanagerhinge.core.relay;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;

/** Applies the load that peers report to this node's server instances. */
public final class PeerLoadUpdater {
    private static final PeerReport.InstanceLoad NO_LOAD = new PeerReport.InstanceLoad(0, 0);

    private final Function<String, ServerInstance> serverByInstanceId;

    private PeerLoadUpdater(Function<String, ServerInstance> serverByInstanceId) {
        this.serverByInstanceId = serverByInstanceId;
    }

    /** Creates an updater with a lookup of servers by instance id, which returns null for unknown ones. */
    public static PeerLoadUpdater of(Function<String, ServerInstance> serverByInstanceId) {
        return new PeerLoadUpdater(serverByInstanceId);
    }

    /**
     * Applies the difference between two reports of one peer. Summing the reports of all peers on each report would
     * cost quadratic time in the number of nodes.
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

    /** Passes the work times that a peer's report states to a placement policy. */
    public void recordWorkTimes(
            Map<String, PeerReport.StatedWorkTime> workTimes, PlacementPolicy placement, long nowMillis) {
        workTimes.forEach((instanceId, stated) -> {
            ServerInstance server = serverByInstanceId.apply(instanceId);
            if (server != null) {
                placement.recordPeerWorkTime(server, stated, nowMillis);
            }
        });
    }

    /** Sets the load of all servers to the sums over the present peers, so that silent peers no longer count. */
    public void applyTotals(Collection<ServerInstance> servers, Map<String, PeerReport.InstanceLoad> loads) {
        for (ServerInstance server : servers) {
            PeerReport.InstanceLoad load = loads.getOrDefault(server.instanceId(), NO_LOAD);
            server.updatePeerLoad(load.inFlight(), load.pendingPrefillTokens());
        }
    }
}
