package org.tanagerhinge.core.message;

import java.util.List;

/**
 * What an agent knows of its backend server's load.
 *
 * @param inFlight requests at the backend server
 * @param concurrencyLimit requests that the agent lets run at once
 * @param queuedUnitsByTier expected units queued, by tier, the first for tier 1
 * @param runningUnits expected units still to come from what is in flight
 * @param unitsPerSecond measured rate of the backend server; zero before anything was measured
 * @param streamUnitsPerSecond measured rate of one stream; zero before anything was measured
 * @param queueLength requests queued
 * @param accepting false when the agent takes no new work
 */
public record AgentLoad(
        int inFlight,
        int concurrencyLimit,
        List<Long> queuedUnitsByTier,
        long runningUnits,
        double unitsPerSecond,
        double streamUnitsPerSecond,
        int queueLength,
        boolean accepting) {
    public AgentLoad {
        queuedUnitsByTier = List.copyOf(queuedUnitsByTier);
    }

    /** Returns the load of an agent that has reported nothing yet. */
    public static AgentLoad initial() {
        return new AgentLoad(0, 1, List.of(), 0, 0, 0, 0, true);
    }

    /** Returns the expected units queued ahead of a new request of a tier. */
    public long queuedUnitsAhead(int tier) {
        return queuedUnitsByTier.stream().limit(tier).mapToLong(Long::longValue).sum();
    }
}
