package org.tanagerhinge.core.duty;

import java.util.List;
import java.util.function.Consumer;

/**
 * The calls that a holder and those who want to be one make. Callbacks come once, on the thread of the caller, after the call
 * has returned.
 */
public interface DutyPort {
    /** Asks the store for a lease; {@code done} gets its number. */
    void lease(long timeMillis, Consumer<DutyReply<Long>> done);

    /**
     * Writes a claim under a lease if nobody holds the duty.
     *
     * @param holders names of the nodes that held it last, this one the newest; they outlast the lease
     * @param done gets whether it was written
     */
    void claim(String claim, long lease, List<String> holders, Consumer<DutyReply<Boolean>> done);

    /** Renews a lease; {@code done} gets whether it still runs. */
    void renew(long lease, Consumer<DutyReply<Boolean>> done);

    /** Ends a lease, and the holding under it; the answer doesn't matter. */
    void endLease(long lease);

    /** Reads what the store holds of the duty. */
    void read(Consumer<DutyReply<UsageRecord>> done);

    /**
     * Fixes a window's counts, if the holding of a token still stands.
     *
     * @param forget the newest window that may be removed from the store
     */
    void fix(long token, UsageCounts counts, long forget, Consumer<DutyReply<Fixed>> done);

    /** Saves what was heard of windows that aren't fixed, if the holding still stands; {@code done} gets whether it does. */
    void save(long token, List<UsageReport> tally, Consumer<DutyReply<Boolean>> done);

    /** Gives the duty back with what was heard; {@code done} runs once that is known to be done or to have failed. */
    void release(long token, List<UsageReport> tally, Runnable done);

    /** Reports a window's counts to the platform. */
    void report(long token, UsageCounts counts, Consumer<DutyReply<Reported>> done);

    /** What became of fixing a window's counts. */
    sealed interface Fixed {
        /** They are fixed. */
        record Now() implements Fixed {}

        /** The window has been fixed before, with these counts. */
        record Before(UsageCounts counts) implements Fixed {}

        /** The holding of the token has ended. */
        record NotHolder() implements Fixed {}
    }

    /** What the platform said of a report. */
    enum Reported {
        ACCEPTED,
        /** A higher fencing token was seen: the holding has ended. */
        FENCED,
        /** Not now: too many calls, or the platform can't. */
        LATER,
        /** The report itself is not acceptable. */
        REFUSED
    }
}
