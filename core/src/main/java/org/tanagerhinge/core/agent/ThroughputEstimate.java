package org.tanagerhinge.core.agent;

import java.time.Duration;

/**
 * How fast the backend server works, for guesses of waiting and running times.
 *
 * @param unitsPerSecond rate of the whole server; zero when not yet known
 * @param streamUnitsPerSecond rate of one stream; zero when not yet known
 * @param freeSlots requests that could be dispatched at once
 */
record ThroughputEstimate(double unitsPerSecond, double streamUnitsPerSecond, int freeSlots) {
    private static final Duration MAX_ESTIMATE = Duration.ofMinutes(1);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);

    /**
     * Returns how long a run waits for what is ahead of it.
     *
     * @param costAhead queued cost of its tier and above
     * @param classCost queued cost of its own class, which its guaranteed share works off in any case
     */
    Duration queueWait(long costAhead, long classCost, double shareFraction) {
        if (unitsPerSecond <= 0 || freeSlots > 0) {
            return Duration.ZERO;
        }
        double waitInTierOrder = costAhead / unitsPerSecond;
        double waitByShare = classCost / (unitsPerSecond * shareFraction);
        return boundedDuration(classCost > 0 ? Math.min(waitInTierOrder, waitByShare) : waitInTierOrder);
    }

    /** Returns how long a run of a cost takes once it is dispatched. */
    Duration runTime(long cost) {
        return streamUnitsPerSecond <= 0 ? Duration.ZERO : boundedDuration(cost / streamUnitsPerSecond);
    }

    /** Returns when a caller should come back, given the cost that must be worked off before. */
    Duration retryAfter(long cost) {
        Duration drain = unitsPerSecond <= 0 ? MIN_RETRY_AFTER : boundedDuration(cost / unitsPerSecond);
        return drain.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : drain;
    }

    private static Duration boundedDuration(double seconds) {
        Duration duration = Duration.ofNanos((long) (Math.min(seconds, MAX_ESTIMATE.toSeconds()) * 1e9));
        return duration.compareTo(MAX_ESTIMATE) > 0 ? MAX_ESTIMATE : duration;
    }
}
