package org.tanagerhinge.core.duty;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Holds the usage counts that one node reports to the duty holder. Counts are cumulative, so a report may arrive
 * repeatedly, late or out of order.
 *
 * @param node name of the node
 * @param incarnation distinguishes successive runs of the node's process
 * @param sinceMillis median-clock time at which the process started counting, in milliseconds since the Unix epoch
 * @param asOfMillis median-clock time up to which the counts are complete, in milliseconds since the Unix epoch
 * @param last whether the process has stopped counting because it shuts down
 * @param windows counts by window number and workspace name; committed windows may be missing
 */
public record UsageReport(
        String node,
        long incarnation,
        long sinceMillis,
        long asOfMillis,
        boolean last,
        SortedMap<Long, SortedMap<String, Long>> windows) {
    public UsageReport {
        windows = Collections.unmodifiableSortedMap(new TreeMap<>(windows));
    }
}
