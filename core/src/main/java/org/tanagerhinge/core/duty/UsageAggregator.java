package org.tanagerhinge.core.duty;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Aggregates the usage reports of all nodes on the duty holder. Merging keeps the maximum of each cumulative count,
 * so it is idempotent and independent of the order of reports.
 */
final class UsageAggregator {
    /** Identifies one run of a node's process. */
    private record Source(String node, long incarnation) {}

    private static final class SourceCounts {
        private long sinceMillis;
        private long asOfMillis;
        private boolean last;
        private final TreeMap<Long, SortedMap<String, Long>> windows = new TreeMap<>();
    }

    private final Map<Source, SourceCounts> countsBySource = new HashMap<>();
    private long committedThrough = Long.MIN_VALUE;
    private boolean changed;

    private UsageAggregator() {}

    static UsageAggregator create() {
        return new UsageAggregator();
    }

    void merge(UsageReport report) {
        Source source = new Source(report.node(), report.incarnation());
        SourceCounts sourceCounts = countsBySource.computeIfAbsent(source, unknown -> new SourceCounts());
        sourceCounts.sinceMillis = report.sinceMillis();
        sourceCounts.asOfMillis = Math.max(sourceCounts.asOfMillis, report.asOfMillis());
        sourceCounts.last |= report.last();
        report.windows().tailMap(committedThrough + 1).forEach((window, counts) -> {
            SortedMap<String, Long> maximums = sourceCounts.windows.computeIfAbsent(window, number -> new TreeMap<>());
            counts.forEach((workspace, count) -> maximums.merge(workspace, count, Math::max));
        });
        changed = true;
    }

    /** Returns whether a report was merged since the previous call, and resets that flag. */
    boolean clearChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /** Returns the sum of the counts of all nodes for a window. */
    UsageCounts counts(long window) {
        TreeMap<String, Long> sums = new TreeMap<>();
        for (SourceCounts sourceCounts : countsBySource.values()) {
            sourceCounts
                    .windows
                    .getOrDefault(window, new TreeMap<>())
                    .forEach((workspace, count) -> sums.merge(workspace, count, Long::sum));
        }
        return new UsageCounts(window, sums);
    }

    /** Returns whether any process started counting before a median-clock time. */
    boolean anyStartedBefore(long epochMillis) {
        return countsBySource.values().stream().anyMatch(sourceCounts -> sourceCounts.sinceMillis < epochMillis);
    }

    /** Returns whether a process has reported all of its counts up to a median-clock time. */
    boolean isComplete(String node, long incarnation, long epochMillis) {
        SourceCounts sourceCounts = countsBySource.get(new Source(node, incarnation));
        return sourceCounts != null && (sourceCounts.last || sourceCounts.asOfMillis >= epochMillis);
    }

    /** Marks all windows up to and including this one as committed and drops their counts. */
    void markCommitted(long window) {
        committedThrough = Math.max(committedThrough, window);
        countsBySource
                .values()
                .forEach(sourceCounts ->
                        sourceCounts.windows.headMap(committedThrough, true).clear());
    }

    long committedThrough() {
        return committedThrough;
    }

    /** Removes processes without uncommitted counts whose latest report is older than a median-clock time. */
    void removeIdleSources(long epochMillis) {
        countsBySource
                .values()
                .removeIf(sourceCounts -> sourceCounts.asOfMillis < epochMillis && sourceCounts.windows.isEmpty());
    }

    /** Returns the merged reports of all processes on uncommitted windows. */
    List<UsageReport> snapshot() {
        List<UsageReport> reports = new ArrayList<>();
        countsBySource.forEach((source, sourceCounts) -> reports.add(new UsageReport(
                source.node(),
                source.incarnation(),
                sourceCounts.sinceMillis,
                sourceCounts.asOfMillis,
                sourceCounts.last,
                sourceCounts.windows)));
        return reports;
    }

    void mergeAll(Collection<UsageReport> reports) {
        reports.forEach(this::merge);
    }
}
