package org.tanagerhinge.core.message;

import java.util.List;

/**
 * Reports the load of a backend server as its agent sees it.
 *
 * @param inFlight requests at the backend server
 * @param concurrencyLimit maximum number of requests that the agent sends to the backend server at once
 * @param queuedUnitsByTier expected units of the queued requests by tier; index 0 is tier 1
 * @param runningUnits expected units still to come from the requests in flight
 * @param unitsPerSecond measured throughput of the backend server; zero when not yet measured
 * @param streamUnitsPerSecond measured rate of one stream; zero when not yet measured
 * @param queueLength number of queued requests
 * @param accepting whether the agent takes new requests
 * @param softwareVersion software version that the backend server stated last; empty if it has stated none
 */
public record AgentLoad(
        int inFlight,
        int concurrencyLimit,
        List<Long> queuedUnitsByTier,
        long runningUnits,
        double unitsPerSecond,
        double streamUnitsPerSecond,
        int queueLength,
        boolean accepting,
        String softwareVersion) {
    public AgentLoad {
        queuedUnitsByTier = List.copyOf(queuedUnitsByTier);
    }

    /** Returns the load assumed for an agent that has not reported yet. */
    public static AgentLoad initial() {
        return new AgentLoad(0, 1, List.of(), 0, 0, 0, 0, true, "");
    }

    /** Returns the expected units queued ahead of a new request of a tier. */
    public long queuedUnitsAhead(int tier) {
        return queuedUnitsByTier.stream().limit(tier).mapToLong(Long::longValue).sum();
    }
}
