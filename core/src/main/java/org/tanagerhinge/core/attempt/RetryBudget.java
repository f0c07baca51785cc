package org.tanagerhinge.core.attempt;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Limits retries at other backend servers for each class of requests (a service or a profile) in a sliding window.
 *
 * <p>It guards against retries multiplying the load when all servers of a service fail. The budget is shared by all
 * nodes without coordination: each node may spend a ratio of its own requests and its part of a fixed slack.
 */
public final class RetryBudget {
    /** Fraction of the budget that is spent, so that windows that are not aligned between nodes do not exceed it. */
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
     * Creates a budget of which nothing is spent.
     *
     * @param ratio retries for each request in a window
     * @param slack retries in a window in addition, of all nodes together
     * @param windowMillis length of the window
     */
    public static RetryBudget of(double ratio, double slack, long windowMillis) {
        return new RetryBudget(ratio, slack, windowMillis);
    }

    /** Changes the limits; retries already spent still count. */
    public final void setLimits(double newRatio, double newSlack, long newWindowMillis) {
        ratio = newRatio;
        slack = newSlack;
        windowMillis = newWindowMillis;
    }

    /** Sets the number of nodes among which the slack is divided. */
    public void nodeCount(int count) {
        nodeCount = Math.max(1, count);
    }

    /** Records a request of a class. */
    public void recordRequest(String requestClass, long nowMillis) {
        window(requestClass, nowMillis).requests.add(nowMillis);
    }

    /** Takes one retry if the budget allows it; returns whether it does. */
    public boolean tryTake(String requestClass, long nowMillis) {
        Window window = window(requestClass, nowMillis);
        if (window.retries.size() + 1 > allowed(window)) {
            return false;
        }
        window.retries.add(nowMillis);
        return true;
    }

    /**
     * Describes what a node has spent of the budget of a class.
     *
     * @param retries retries that this node took in the window
     * @param retriesLeft retries that it could still take now
     */
    public record Usage(int retries, double retriesLeft) {}

    /** Returns what this node has spent of the budget of a class. */
    public Usage usage(String requestClass, long nowMillis) {
        Window window = window(requestClass, nowMillis);
        int retries = window.retries.size();
        return new Usage(retries, Math.max(0, allowed(window) - retries));
    }

    /** Returns the classes of which requests were recorded. */
    public Set<String> classes() {
        return windows.keySet();
    }

    /** Returns the number of nodes among which the slack is divided. */
    public int nodeCount() {
        return nodeCount;
    }

    private double allowed(Window window) {
        return USABLE_FRACTION * (ratio * window.requests.size() + slack / nodeCount);
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
