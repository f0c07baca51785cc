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
    private static final double USED = 0.85;

    private double ratio;
    private double slack;
    private long windowMillis;
    private int nodes = 1;
    private final Map<String, Window> windows = new HashMap<>();

    private RetryBudget(double ratio, double slack, long windowMillis) {
        terms(ratio, slack, windowMillis);
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
    public final void terms(double newRatio, double newSlack, long newWindowMillis) {
        ratio = newRatio;
        slack = newSlack;
        windowMillis = newWindowMillis;
    }

    /** Sets among how many nodes the slack is divided. */
    public void nodes(int count) {
        nodes = Math.max(1, count);
    }

    /** Notes a request of a class. */
    public void request(String of, long now) {
        window(of, now).requests.add(now);
    }

    /** Takes one repeat if there is one left. */
    public boolean take(String of, long now) {
        Window window = window(of, now);
        if (window.repeats.size() + 1 > USED * (ratio * window.requests.size() + slack / nodes)) {
            return false;
        }
        window.repeats.add(now);
        return true;
    }

    private Window window(String of, long now) {
        Window window = windows.computeIfAbsent(of, key -> new Window());
        window.trim(now - windowMillis);
        return window;
    }

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> repeats = new ArrayDeque<>();

        private void trim(long from) {
            trim(requests, from);
            trim(repeats, from);
        }

        private static void trim(Deque<Long> times, long from) {
            while (!times.isEmpty() && times.peekFirst() < from) {
                times.pollFirst();
            }
        }
    }
}
