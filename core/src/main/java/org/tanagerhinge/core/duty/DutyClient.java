package org.tanagerhinge.core.duty;

import java.util.List;
import java.util.function.Consumer;

/**
 * Makes the asynchronous calls of duty holders and candidates to the metadata store and the platform. Each callback
 * runs exactly once, on the caller's thread, after the method has returned.
 */
public interface DutyClient {
    /**
     * Returns the latest era of the store that this node knows; it is updated before each callback. Outcomes of an
     * earlier era are unknown ones.
     */
    long storeEra();

    /** Requests a lease from the store; {@code callback} receives the lease id. */
    void grantLease(long ttlMillis, Consumer<CallOutcome<Long>> callback);

    /**
     * Writes a claim attached to a lease, on condition that no node holds the duty.
     *
     * @param recentHolders names of the latest holders, oldest first, ending with this node; stored without a lease
     * @param callback receives whether the claim was written
     */
    void claim(String claim, long leaseId, List<String> recentHolders, Consumer<CallOutcome<Boolean>> callback);

    /** Renews a lease; {@code callback} receives false if the lease has already expired. */
    void renewLease(long leaseId, Consumer<CallOutcome<Boolean>> callback);

    /** Revokes a lease and with it the ownership claimed under it; the answer is ignored. */
    void revokeLease(long leaseId);

    /** Reads the stored record of the duty. */
    void readRecord(Consumer<CallOutcome<DutyRecord>> callback);

    /**
     * Commits the counts of a window to the store, on condition that the fencing token is still current and the
     * window has not been committed before.
     *
     * @param pruneThrough newest window that may be removed from the store
     */
    void commitUsage(
            long fencingToken, UsageCounts counts, long pruneThrough, Consumer<CallOutcome<CommitResult>> callback);

    /**
     * Saves what a successor needs, on condition that the fencing token is still current; {@code callback} receives
     * whether it is.
     */
    void saveTally(long fencingToken, UsageTally tally, Consumer<CallOutcome<Boolean>> callback);

    /** Saves what a successor needs and gives up ownership; {@code callback} runs when the call has ended. */
    void release(long fencingToken, UsageTally tally, Runnable callback);

    /** Reports the counts of a window to the platform. */
    void reportUsage(long fencingToken, UsageCounts counts, Consumer<CallOutcome<ReportResult>> callback);

    /** Represents the result of committing the counts of a window. */
    sealed interface CommitResult {
        /** The counts are committed. */
        record Committed() implements CommitResult {}

        /** The window had been committed before, with these counts. */
        record AlreadyCommitted(UsageCounts counts) implements CommitResult {}

        /** The window had been committed before, with counts that cannot be read. */
        record CommittedUnreadable(String reason) implements CommitResult {}

        /** The fencing token is no longer current. */
        record NotHolder() implements CommitResult {}
    }

    /** The platform's answer to a usage report. */
    enum ReportResult {
        ACCEPTED,
        /** The platform has seen a higher fencing token: this node is no longer the holder. */
        FENCED,
        /** The platform is overloaded or unavailable; the report is to be retried. */
        LATER,
        /** The platform rejected the report; a retry would be rejected as well. */
        REFUSED
    }
}
