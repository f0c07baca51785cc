package org.tanagerhinge.core.duty;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What one node has counted, as it tells the holder. Counts are cumulative, so that a report may be told again or come late.
 *
 * @param node name of the node
 * @param incarnation another number after each start of its process
 * @param sinceMillis true time at which the process began to count
 * @param asOfMillis true time up to which it has counted
 * @param last whether it counts no more, since its process ends
 * @param windows counts by workspace, by the number of the window; windows that are fixed may be missing
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
