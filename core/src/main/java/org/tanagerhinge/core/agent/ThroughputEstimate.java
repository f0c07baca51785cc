package org.tanagerhinge.core.agent;

import java.time.Duration;

/**
 * Estimates waiting and run times from the measured throughput of a backend server.
 *
 * @param unitsPerSecond rate of the whole server; zero when not yet measured
 * @param streamUnitsPerSecond rate of one stream; zero when not yet measured
 * @param freeSlots requests that can be dispatched at once
 */
record ThroughputEstimate(double unitsPerSecond, double streamUnitsPerSecond, int freeSlots) {
    private static final Duration MAX_ESTIMATE = Duration.ofMinutes(1);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);

    /**
     * Returns the estimated time until a new run is dispatched.
     *
     * @param costAhead queued cost of the run's tier and all higher tiers
     * @param classCost queued cost of the run's own class, which is served at least at the class's share
     * @param shareFraction guaranteed share of the class, from 0 to 1
     */
    Duration queueWait(long costAhead, long classCost, double shareFraction) {
        if (unitsPerSecond <= 0 || freeSlots > 0) {
            return Duration.ZERO;
        }
        double waitInTierOrder = costAhead / unitsPerSecond;
        double waitByShare = classCost / (unitsPerSecond * shareFraction);
        return boundedDuration(classCost > 0 ? Math.min(waitInTierOrder, waitByShare) : waitInTierOrder);
    }

    /** Returns the estimated run time of a cost after dispatch. */
    Duration runTime(long cost) {
        return streamUnitsPerSecond <= 0 ? Duration.ZERO : boundedDuration(cost / streamUnitsPerSecond);
    }

    /** Returns the time after which a rejected caller should retry, given the cost that must be served before. */
    Duration retryAfter(long cost) {
        Duration drainTime = unitsPerSecond <= 0 ? MIN_RETRY_AFTER : boundedDuration(cost / unitsPerSecond);
        return drainTime.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : drainTime;
    }

    private static Duration boundedDuration(double seconds) {
        Duration duration = Duration.ofNanos((long) (Math.min(seconds, MAX_ESTIMATE.toSeconds()) * 1e9));
        return duration.compareTo(MAX_ESTIMATE) > 0 ? MAX_ESTIMATE : duration;
    }
}
