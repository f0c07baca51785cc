package org.tanagerhinge.core.duty;

/** Hears what happens to a duty, for logs and metrics. */
public interface DutyListener {
    /** This node holds the duty from now on. */
    void held(long token);

    /** This node doesn't hold the duty any more. */
    void lost(long token, String why);

    /**
     * A window's counts are fixed.
     *
     * @param heard nodes whose counts are complete
     * @param known nodes that had something to tell
     */
    void fixed(long token, UsageCounts counts, int heard, int known);

    /** A window's report was answered, or had no answer. */
    void reported(long token, UsageCounts counts, String outcome, long leaseLeftMillis);

    /** A window ended unreported. */
    void missed(long window, String why);
}
