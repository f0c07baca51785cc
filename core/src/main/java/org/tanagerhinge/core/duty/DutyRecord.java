package org.tanagerhinge.core.duty;

import java.util.List;
import java.util.Optional;

/**
 * What the store holds of the usage duty.
 *
 * @param holding who holds it, if anybody does
 * @param holders names of the nodes that held it last, the newest last
 * @param fixed counts that were fixed and may have been reported
 * @param tally what the holder had heard of windows that weren't fixed, when it saved that last
 */
public record DutyRecord(
        Optional<Ownership> ownership,
        List<String> recentHolders,
        List<UsageCounts> committedCounts,
        List<UsageReport> savedReports) {
    /**
     * A holding as the store has it.
     *
     * @param claim the text that the claim wrote, different for each claim
     * @param token the store's revision of that write
     */
    public record Ownership(String claim, long fencingToken) {}
}
