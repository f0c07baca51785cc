package org.tanagerhinge.core.duty;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts the requests that servers started for this node's callers, by window and workspace, until the windows are
 * committed.
 */
public final class UsageCounter {
    private final DutySettings settings;
    private final MedianClock medianClock;
    private final String node;
    private final long incarnation;
    private final long startedAtSteadyMillis;
    private final TreeMap<Long, SortedMap<String, Long>> windows = new TreeMap<>();
    private long startedRequests;

    private UsageCounter(DutySettings settings, MedianClock medianClock, String node, long incarnation) {
        this.settings = settings;
        this.medianClock = medianClock;
        this.node = node;
        this.incarnation = incarnation;
        this.startedAtSteadyMillis = medianClock.steadyMillis();
    }

    /** Returns a counter that starts counting now. */
    public static UsageCounter of(DutySettings settings, MedianClock medianClock, long incarnation) {
        return new UsageCounter(settings, medianClock, settings.node(), incarnation);
    }

    /** Records that a server has started a request of a workspace. */
    public void recordStart(String workspace) {
        long window = settings.windowAt(medianClock.epochMillis());
        windows.computeIfAbsent(window, number -> new TreeMap<>()).merge(workspace, 1L, Long::sum);
        startedRequests++;
    }

    /** Returns the number of requests counted since the process started. */
    long startedRequests() {
        return startedRequests;
    }

    /** Drops the counts of all windows up to and including {@code lastWindow}. */
    void dropThrough(long lastWindow) {
        windows.headMap(lastWindow, true).clear();
    }

    /**
     * Returns the counts of all windows that have not been dropped.
     *
     * @param last whether the process has stopped counting
     */
    public UsageReport snapshot(boolean last) {
        long nowMillis = medianClock.epochMillis();
        dropThrough(settings.windowAt(nowMillis) - settings.retainedWindows());
        TreeMap<Long, SortedMap<String, Long>> copy = new TreeMap<>();
        windows.forEach((window, counts) -> copy.put(window, Collections.unmodifiableSortedMap(new TreeMap<>(counts))));
        // The clock of this node alone, read at the start, may have been stepped back, and the process would seem to
        // have
        // counted windows that ended before it started.
        long sinceMillis = nowMillis - (medianClock.steadyMillis() - startedAtSteadyMillis);
        return new UsageReport(node, incarnation, sinceMillis, nowMillis, last, copy);
    }
}
