package org.tanagerhinge.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the aggregation of reports that arrive repeatedly, late, out of order or from terminated processes. */
class UsageAggregatorTest {
    private static UsageReport report(
            String node, long incarnation, long asOfMillis, boolean last, long window, long count) {
        SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>();
        windows.put(window, new TreeMap<>(Map.of("coop", count)));
        return new UsageReport(node, incarnation, 0, asOfMillis, last, windows);
    }

    /** Guards against reports that are counted twice, or reduce counts when they arrive after a newer one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void countsDoNotDependOnOrderOrRepetitionOfReports(long seed) {
        List<UsageReport> reports = new ArrayList<>();
        for (long count = 1; count <= 5; count++) {
            reports.add(report("a", 1, 1_000 * count, false, 7, count));
            reports.add(report("b", 1, 1_000 * count, false, 7, 10 * count));
        }
        reports.add(report("a", 2, 9_000, false, 7, 100));
        reports.addAll(List.copyOf(reports));
        Collections.shuffle(reports, new Random(seed));
        UsageAggregator aggregator = UsageAggregator.create();
        aggregator.mergeAll(reports);
        assertEquals(Map.of("coop", 155L), aggregator.counts(7).byWorkspace());
    }

    @Test
    void snapshotRestoresSameCounts() {
        UsageAggregator aggregator = UsageAggregator.create();
        aggregator.merge(report("a", 1, 4_000, true, 7, 3));
        aggregator.merge(report("b", 4, 4_000, false, 8, 2));
        UsageAggregator successor = UsageAggregator.create();
        successor.mergeAll(aggregator.snapshot());
        assertEquals(aggregator.counts(7), successor.counts(7));
        assertEquals(aggregator.counts(8), successor.counts(8));
        assertTrue(
                successor.isComplete("a", 1, 99_000),
                "the last report of a terminated process is complete for all times");
        assertFalse(successor.isComplete("b", 4, 99_000));
    }

    /** Guards against a late report that reopens a committed window. */
    @Test
    void committedWindowIgnoresLateReports() {
        UsageAggregator aggregator = UsageAggregator.create();
        aggregator.merge(report("a", 1, 4_000, false, 7, 3));
        aggregator.markCommitted(7);
        aggregator.merge(report("a", 1, 5_000, false, 7, 9));
        assertEquals(Map.of(), aggregator.counts(7).byWorkspace());
        assertEquals(7, aggregator.committedThrough());
    }
}
