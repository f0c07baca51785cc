package org.tanagerhinge.core.relay;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;

/** Applies the load that peers report to this node's server instances. */
public final class PeerLoadUpdater {
    private static final RankedLoad NO_LOAD = RankedLoad.create();

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
    public void applyChange(Map<String, RankedLoad> before, Map<String, RankedLoad> after) {
        before.forEach((instanceId, load) -> {
            if (!after.containsKey(instanceId)) {
                adjust(instanceId, load, NO_LOAD);
            }
        });
        after.forEach((instanceId, load) -> adjust(instanceId, before.getOrDefault(instanceId, NO_LOAD), load));
    }

    private void adjust(String instanceId, RankedLoad before, RankedLoad after) {
        ServerInstance server = serverByInstanceId.apply(instanceId);
        if (server != null) {
            server.adjustPeerLoad(before, after);
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
    public void applyTotals(Collection<ServerInstance> servers, Map<String, RankedLoad> loads) {
        for (ServerInstance server : servers) {
            server.updatePeerLoad(loads.getOrDefault(server.instanceId(), NO_LOAD));
        }
    }
}
