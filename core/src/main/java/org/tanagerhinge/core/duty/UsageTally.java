package org.tanagerhinge.core.duty;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What the holder has heard of all nodes' counts. Reports may come twice, late or out of order: each count is kept at its
 * greatest, so the order doesn't matter.
 */
final class UsageTally {
    /** One run of a node's process. */
    private record Source(String node, long incarnation) {}

    private static final class Heard {
        private long sinceMillis;
        private long asOfMillis;
        private boolean last;
        private final TreeMap<Long, SortedMap<String, Long>> windows = new TreeMap<>();
    }

    private final Map<Source, Heard> sources = new HashMap<>();
    private long fixedThrough = Long.MIN_VALUE;
    private boolean changed;

    private UsageTally() {}

    static UsageTally create() {
        return new UsageTally();
    }

    void take(UsageReport report) {
        Source source = new Source(report.node(), report.incarnation());
        Heard heard = sources.computeIfAbsent(source, unknown -> new Heard());
        heard.sinceMillis = report.sinceMillis();
        heard.asOfMillis = Math.max(heard.asOfMillis, report.asOfMillis());
        heard.last |= report.last();
        report.windows().tailMap(fixedThrough + 1).forEach((window, counts) -> {
            SortedMap<String, Long> known = heard.windows.computeIfAbsent(window, number -> new TreeMap<>());
            counts.forEach((workspace, count) -> known.merge(workspace, count, Math::max));
        });
        changed = true;
    }

    /** Returns whether something was heard since this was asked last. */
    boolean takeChange() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** Returns the counts of all nodes together. */
    UsageCounts counts(long window) {
        TreeMap<String, Long> sums = new TreeMap<>();
        for (Heard heard : sources.values()) {
            heard.windows
                    .getOrDefault(window, new TreeMap<>())
                    .forEach((workspace, count) -> sums.merge(workspace, count, Long::sum));
        }
        return new UsageCounts(window, sums);
    }

    /** Returns whether any process counted before a moment of true time. */
    boolean anyBefore(long trueMillis) {
        return sources.values().stream().anyMatch(heard -> heard.sinceMillis < trueMillis);
    }

    /** Returns whether the newest process of a node has told all that it counted before a moment of true time. */
    boolean complete(String node, long incarnation, long trueMillis) {
        Heard heard = sources.get(new Source(node, incarnation));
        return heard != null && (heard.last || heard.asOfMillis >= trueMillis);
    }

    /** A window and those before it are fixed: nothing more is kept of them. */
    void fixed(long window) {
        fixedThrough = Math.max(fixedThrough, window);
        sources.values()
                .forEach(heard -> heard.windows.headMap(fixedThrough, true).clear());
    }

    long fixedThrough() {
        return fixedThrough;
    }

    /** Forgets processes that counted nothing since a moment of true time. */
    void trim(long trueMillis) {
        sources.values().removeIf(heard -> heard.asOfMillis < trueMillis && heard.windows.isEmpty());
    }

    /** Returns what was heard of windows that aren't fixed. */
    List<UsageReport> saved() {
        List<UsageReport> all = new ArrayList<>();
        sources.forEach((source, heard) -> all.add(new UsageReport(
                source.node(), source.incarnation(), heard.sinceMillis, heard.asOfMillis, heard.last, heard.windows)));
        return all;
    }

    void takeAll(Collection<UsageReport> reports) {
        reports.forEach(this::take);
    }
}
