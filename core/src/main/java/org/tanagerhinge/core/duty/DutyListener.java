package org.tanagerhinge.core.duty;

/** Receives the events of a duty, for logs and metrics. */
public interface DutyListener {
    /** Called when this node has become the holder. */
    void dutyAcquired(long fencingToken);

    /** Called when this node is no longer the holder. */
    void dutyLost(long fencingToken, String reason);

    /**
     * Called when the counts of a window have been committed to the store, before they are reported.
     *
     * @param completeNodes number of nodes whose counts of the window are complete
     * @param knownNodes number of nodes that are known, this one included
     */
    void usageCommitted(long fencingToken, UsageCounts counts, int completeNodes, int knownNodes);

    /** Called when the report of a window was answered or has failed; {@code outcome} is the answer or the failure. */
    void usageReported(long fencingToken, UsageCounts counts, String outcome, long remainingLeaseMillis);

    /** Called when this node leaves out a window because another node may have reported it. */
    void windowSkipped(long window, String reason);

    /** Called when a window will not be reported. */
    void windowMissed(long window, String reason);

    /** Called when this node ignores what another node or the store states, because it cannot be true. */
    void statementIgnored(String statement);
}
