package org.tanagerhinge.core.duty;

import java.util.List;
import java.util.Optional;

/**
 * Holds the state of the usage duty in the metadata store.
 *
 * @param ownership claim of the current holder, if there is one
 * @param recentHolders names of the latest holders, the newest last
 * @param committedCounts committed counts, which may have been reported already
 * @param tally what a holder saved last
 */
public record DutyRecord(
        Optional<Ownership> ownership,
        List<String> recentHolders,
        List<UsageCounts> committedCounts,
        UsageTally tally) {
    /**
     * Identifies the current holder.
     *
     * @param claim text that the holder wrote, unique to each claim
     * @param fencingToken position of that write in the store's history, as {@link
     *     org.tanagerhinge.core.store.StorePosition#toFencingToken()}
     */
    public record Ownership(String claim, long fencingToken) {}
}
