package org.tanagerhinge.core.duty;

/** Hears what happens to a duty, for logs and metrics. */
public interface DutyListener {
    /** This node holds the duty from now on. */
    void dutyAcquired(long fencingToken);

    /** This node doesn't hold the duty any more. */
    void dutyLost(long fencingToken, String reason);

    /**
     * A window's counts are fixed.
     *
     * @param heard nodes whose counts are complete
     * @param known nodes that had something to tell
     */
    void usageCommitted(long fencingToken, UsageCounts counts, int completeNodes, int knownNodes);

    /** A window's report was answered, or had no answer. */
    void usageReported(long fencingToken, UsageCounts counts, String outcome, long remainingLeaseMillis);

    /** A window ended unreported. */
    void windowMissed(long window, String reason);
}
