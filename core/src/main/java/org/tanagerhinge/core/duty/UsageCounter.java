package org.tanagerhinge.core.duty;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/** Counts the requests that servers began for one node's callers, until their windows are fixed. */
public final class UsageCounter {
    private final DutyTerms terms;
    private final TrueTime time;
    private final String node;
    private final long incarnation;
    private final long sinceMillis;
    private final TreeMap<Long, SortedMap<String, Long>> windows = new TreeMap<>();
    private long counted;

    private UsageCounter(DutyTerms terms, TrueTime time, String node, long incarnation) {
        this.terms = terms;
        this.time = time;
        this.node = node;
        this.incarnation = incarnation;
        this.sinceMillis = time.millis();
    }

    /** Returns a counter of a process that has just started. */
    public static UsageCounter of(DutyTerms terms, TrueTime time, long incarnation) {
        return new UsageCounter(terms, time, terms.node(), incarnation);
    }

    /** A server has begun a request of a workspace. */
    public void began(String workspace) {
        long window = terms.windowAt(time.millis());
        windows.computeIfAbsent(window, number -> new TreeMap<>()).merge(workspace, 1L, Long::sum);
        counted++;
    }

    /** Returns how many requests were counted since the start. */
    long counted() {
        return counted;
    }

    /** Drops windows up to one: they are fixed, or too old to be reported. */
    void drop(long through) {
        windows.headMap(through, true).clear();
    }

    /** Returns the counts of all windows that weren't dropped. */
    public UsageReport report(boolean last) {
        long now = time.millis();
        drop(terms.windowAt(now) - terms.windowsKept());
        TreeMap<Long, SortedMap<String, Long>> copy = new TreeMap<>();
        windows.forEach((window, counts) -> copy.put(window, Collections.unmodifiableSortedMap(new TreeMap<>(counts))));
        return new UsageReport(node, incarnation, sinceMillis, now, last, copy);
    }
}
