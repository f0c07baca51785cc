package org.tanagerhinge.core.relay;

import java.util.OptionalLong;

/**
 * Whether a request of the last rank is taken at all, and when its caller should come back otherwise.
 *
 * <p>Answers the load pattern of a burst of long prompts that asks for more reading than engines can do: all of them wait
 * then, engines read prompts of which the answer is late or whose callers have left, and the memory that waiting and running
 * requests take pushes out the parts that the next ones share. What can't have its first output in time where it would go is
 * turned away at once, unrun. A prompt of which little is to be read goes before others at an engine, so it is taken when one
 * that needs much of the engine's time is not. More urgent requests are never turned away here.
 *
 * <p>The decision needs no agreement of the nodes: the wait is that of one engine, made of what all nodes have sent there, and
 * ends as soon as their next reports say that it is over.
 */
public final class AdmissionControl {
    /** Share of its target that a request may wait for the reading of prompts; the rest is its first tokens and the way. */
    private static final double MAX_WAIT_TARGET_SHARE = 0.8;
    /**
     * How many times as long a request may wait that was turned away before: its answer is hardly in time any more, but a
     * caller who came back as told should not be sent away a second time.
     */
    private static final double RETRY_WAIT_FACTOR = 1.5;
    /** A request with less than this share of its route's time left has been turned away before. */
    private static final double RETRY_TIME_LEFT_SHARE = 0.97;
    /** Earliest return: load that peers tell is this old, so nothing is known of an earlier moment, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MILLIS = 300;
    /** Largest share of the time that a caller has left that it is told to wait; callers don't wait longer. */
    private static final double MAX_RETRY_AFTER_SHARE = 1.0 / 3;

    private AdmissionControl() {}

    /** Returns the longest wait with which a request is still in time; infinite if its route has no target. */
    static double maxWaitMillis(Route route) {
        return route.targetMillis() <= 0 ? Double.POSITIVE_INFINITY : MAX_WAIT_TARGET_SHARE * route.targetMillis();
    }

    /**
     * Decides on a request of the last rank.
     *
     * @param waitMillis expected time until its first output
     * @param leftMillis time until the caller leaves
     * @param draw a number drawn evenly from 0 to 1: callers who are turned away together should not come back together
     * @return when to come back, in milliseconds; empty if it is taken
     */
    public static OptionalLong retryAfterMillis(
            Route route, double expectedWaitMillis, long timeLeftMillis, double random) {
        boolean retried = timeLeftMillis < RETRY_TIME_LEFT_SHARE * route.timeoutMillis();
        double maxWaitMillis = maxWaitMillis(route) * (retried ? RETRY_WAIT_FACTOR : 1);
        if (expectedWaitMillis <= maxWaitMillis) {
            return OptionalLong.empty();
        }
        double untilCapacityMillis = Math.max(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis - maxWaitMillis);
        return OptionalLong.of((long)
                Math.max(1, Math.min(untilCapacityMillis * (1 + random), MAX_RETRY_AFTER_SHARE * timeLeftMillis)));
    }
}
