package org.tanagerhinge.core.relay;

import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request of the least urgent rank is accepted, and when its caller should retry otherwise.
 *
 * <p>When a burst of long prompts exceeds the prefill capacity of the engines, all of them wait: engines then prefill
 * prompts whose output is late or whose callers have left, and the queued and running requests evict cached prefixes
 * that later prompts share. A request of the least urgent rank that can't have its first output in time is therefore
 * rejected at once, before it runs. The decision depends on the tokens to prefill, so a prompt that is largely cached
 * may be accepted while one that is not is rejected. More urgent requests are never rejected here.
 *
 * <p>The nodes need no agreement: the wait is that of a single engine, computed from the load that all nodes report
 * for it, and falls as soon as newer reports say so.
 */
public final class AdmissionControl {
    /**
     * Largest share of the route's target that a request may wait for prefill; the rest is for transfer and first
     * tokens.
     */
    private static final double MAX_WAIT_TARGET_SHARE = 0.8;
    /**
     * Factor by which a retried request may wait longer: its output is hardly in time any more, but a caller who retries
     * as told should seldom be rejected twice.
     */
    private static final double RETRY_WAIT_FACTOR = 1.5;
    /** A request that has less than this share of its route's timeout left counts as retried. */
    private static final double RETRY_TIME_LEFT_SHARE = 0.97;
    /** Smallest retry delay in milliseconds; peer load reports are up to this old. */
    static final long MIN_RETRY_AFTER_MILLIS = 300;
    /** Largest share of the caller's remaining time that it is told to wait; callers don't wait longer. */
    private static final double MAX_RETRY_AFTER_SHARE = 1.0 / 3;

    private AdmissionControl() {}

    /**
     * Returns the longest acceptable wait for the first output, in milliseconds; infinite if the route has no target.
     */
    static double maxWaitMillis(Route route) {
        return route.targetMillis() <= 0 ? Double.POSITIVE_INFINITY : MAX_WAIT_TARGET_SHARE * route.targetMillis();
    }

    /**
     * Returns how long the caller of a request of the least urgent rank should wait before it retries.
     *
     * @param expectedWaitMillis expected time until the first output
     * @param timeLeftMillis time until the caller gives up
     * @param random draws a number uniformly from 0 to 1, which spreads the retries of callers that are rejected
     *     together
     * @return delay in milliseconds; empty if the request is accepted
     */
    public static OptionalLong retryAfterMillis(
            Route route, double expectedWaitMillis, long timeLeftMillis, DoubleSupplier random) {
        boolean retried = timeLeftMillis < RETRY_TIME_LEFT_SHARE * route.timeoutMillis();
        double maxWaitMillis = maxWaitMillis(route) * (retried ? RETRY_WAIT_FACTOR : 1);
        if (expectedWaitMillis <= maxWaitMillis) {
            return OptionalLong.empty();
        }
        double untilCapacityMillis = Math.max(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis - maxWaitMillis);
        return OptionalLong.of((long) Math.max(
                1, Math.min(untilCapacityMillis * (1 + random.getAsDouble()), MAX_RETRY_AFTER_SHARE * timeLeftMillis)));
    }
}
