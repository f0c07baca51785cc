package org.tanagerhinge.core.attempt;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * How many requests may be sent to a second backend server, for each class of requests (a service, a profile), in a sliding
 * window that all nodes share.
 *
 * <p>Answers the load pattern of a service whose servers all fail: retries would multiply the load just when there is
 * least room. Each node may spend a share of its own requests, and its part of a fixed slack. The nodes don't ask each
 * other: the sum of their parts is the whole budget.
 */
public final class RetryBudget {
    /** Part of the allowance that is used, so that windows of other nodes that lie a little apart don't exceed it. */
    private static final double USABLE_FRACTION = 0.85;

    private double ratio;
    private double slack;
    private long windowMillis;
    private int nodeCount = 1;
    private final Map<String, Window> windows = new HashMap<>();

    private RetryBudget(double ratio, double slack, long windowMillis) {
        setLimits(ratio, slack, windowMillis);
    }

    /**
     * Returns a budget of which nothing is spent.
     *
     * @param ratio repeats for each request in a window
     * @param slack repeats in a window besides, of all nodes together
     */
    public static RetryBudget of(double ratio, double slack, long windowMillis) {
        return new RetryBudget(ratio, slack, windowMillis);
    }

    /** Takes other terms from now on; what was spent before counts on. */
    public final void setLimits(double newRatio, double newSlack, long newWindowMillis) {
        ratio = newRatio;
        slack = newSlack;
        windowMillis = newWindowMillis;
    }

    /** Sets among how many nodes the slack is divided. */
    public void nodeCount(int count) {
        nodeCount = Math.max(1, count);
    }

    /** Notes a request of a class. */
    public void recordRequest(String requestClass, long nowMillis) {
        window(requestClass, nowMillis).requests.add(nowMillis);
    }

    /** Takes one repeat if there is one left. */
    public boolean tryTake(String requestClass, long nowMillis) {
        Window window = window(requestClass, nowMillis);
        if (window.retries.size() + 1 > USABLE_FRACTION * (ratio * window.requests.size() + slack / nodeCount)) {
            return false;
        }
        window.retries.add(nowMillis);
        return true;
    }

    private Window window(String requestClass, long nowMillis) {
        Window window = windows.computeIfAbsent(requestClass, key -> new Window());
        window.evictBefore(nowMillis - windowMillis);
        return window;
    }

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();

        private void evictBefore(long fromMillis) {
            evictBefore(requests, fromMillis);
            evictBefore(retries, fromMillis);
        }

        private static void evictBefore(Deque<Long> times, long fromMillis) {
            while (!times.isEmpty() && times.peekFirst() < fromMillis) {
                times.pollFirst();
            }
        }
    }
}
