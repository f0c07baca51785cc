package org.tanagerhinge.core.duty;

import java.util.List;
import java.util.function.Consumer;

/**
 * The calls that a holder and those who want to be one make. Callbacks come once, on the thread of the caller, after the call
 * has returned.
 */
public interface DutyClient {
    /** Asks the store for a lease; {@code done} gets its number. */
    void grantLease(long ttlMillis, Consumer<CallOutcome<Long>> callback);

    /**
     * Writes a claim under a lease if nobody holds the duty.
     *
     * @param holders names of the nodes that held it last, this one the newest; they outlast the lease
     * @param done gets whether it was written
     */
    void claim(String claim, long leaseId, List<String> recentHolders, Consumer<CallOutcome<Boolean>> callback);

    /** Renews a lease; {@code done} gets whether it still runs. */
    void renewLease(long leaseId, Consumer<CallOutcome<Boolean>> callback);

    /** Ends a lease, and the holding under it; the answer doesn't matter. */
    void revokeLease(long leaseId);

    /** Reads what the store holds of the duty. */
    void readRecord(Consumer<CallOutcome<DutyRecord>> callback);

    /**
     * Fixes a window's counts, if the holding of a token still stands.
     *
     * @param forget the newest window that may be removed from the store
     */
    void commitUsage(
            long fencingToken, UsageCounts counts, long pruneThrough, Consumer<CallOutcome<CommitResult>> callback);

    /** Saves what was heard of windows that aren't fixed, if the holding still stands; {@code done} gets whether it does. */
    void saveReports(long fencingToken, List<UsageReport> reports, Consumer<CallOutcome<Boolean>> callback);

    /** Gives the duty back with what was heard; {@code done} runs once that is known to be done or to have failed. */
    void release(long fencingToken, List<UsageReport> reports, Runnable callback);

    /** Reports a window's counts to the platform. */
    void reportUsage(long fencingToken, UsageCounts counts, Consumer<CallOutcome<ReportResult>> callback);

    /** What became of fixing a window's counts. */
    sealed interface CommitResult {
        /** They are fixed. */
        record Committed() implements CommitResult {}

        /** The window has been fixed before, with these counts. */
        record AlreadyCommitted(UsageCounts counts) implements CommitResult {}

        /** The holding of the token has ended. */
        record NotHolder() implements CommitResult {}
    }

    /** What the platform said of a report. */
    enum ReportResult {
        ACCEPTED,
        /** A higher fencing token was seen: the holding has ended. */
        FENCED,
        /** Not now: too many calls, or the platform can't. */
        LATER,
        /** The report itself is not acceptable. */
        REFUSED
    }
}
