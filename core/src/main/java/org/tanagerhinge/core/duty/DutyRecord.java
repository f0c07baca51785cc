package org.tanagerhinge.core.duty;

import java.util.List;
import java.util.Optional;

/**
 * Holds the state of the usage duty in the metadata store.
 *
 * @param ownership claim of the current holder, if there is one
 * @param recentHolders names of the latest holders, the newest last
 * @param committedCounts committed counts, which may have been reported already
 * @param savedReports reports on uncommitted windows that a holder saved last
 */
public record DutyRecord(
        Optional<Ownership> ownership,
        List<String> recentHolders,
        List<UsageCounts> committedCounts,
        List<UsageReport> savedReports) {
    /**
     * Identifies the current holder.
     *
     * @param claim text that the holder wrote, unique to each claim
     * @param fencingToken store revision of that write
     */
    public record Ownership(String claim, long fencingToken) {}
}
