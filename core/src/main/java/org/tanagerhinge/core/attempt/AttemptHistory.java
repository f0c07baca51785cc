package org.tanagerhinge.core.attempt;

/**
 * The attempts of one request so far, and whether another one may follow.
 *
 * <p>The one place that decides this, for requests of every interface. What goes wrong without it: a request that must not
 * run twice is sent again after an attempt whose fate is not known, or one that nobody can answer is sent for ever.
 */
public final class AttemptHistory {
    /** A repeat with less time left than this can hardly be answered in time, in milliseconds. */
    private static final long LEAST_LEFT_MILLIS = 30;

    private final AttemptTerms terms;
    private int sends;
    private int runs;
    private int refusals;

    private AttemptHistory(AttemptTerms terms) {
        this.terms = terms;
    }

    /** Returns the history of a request that hasn't been sent yet. */
    public static AttemptHistory of(AttemptTerms terms) {
        return new AttemptHistory(terms);
    }

    /** Notes that the request is sent. */
    public void sent() {
        sends++;
    }

    /** Notes how its newest attempt ended. */
    public void ended(boolean mayHaveRun) {
        if (mayHaveRun) {
            runs++;
        } else {
            refusals++;
        }
    }

    /** Returns how often it was sent. */
    public int sends() {
        return sends;
    }

    /** Returns whether any attempt that has ended may have run. */
    public boolean mayHaveRun() {
        return runs > 0;
    }

    /**
     * Returns whether it may be sent again, now that its newest attempt has ended.
     *
     * @param newestMayHaveRun whether that attempt may have run
     * @param leftMillis time until the request is given up
     */
    public boolean mayRepeat(boolean newestMayHaveRun, long leftMillis) {
        return judge(newestMayHaveRun, runs, leftMillis);
    }

    /** Returns whether it could be sent again, were its newest attempt to end now as one that may have run. */
    public boolean couldRepeatAfterRun(long leftMillis) {
        return judge(true, runs + 1, leftMillis);
    }

    private boolean judge(boolean newestMayHaveRun, int ran, long leftMillis) {
        if (leftMillis < LEAST_LEFT_MILLIS || sends >= terms.mostSends() || refusals > terms.mostRefusals()) {
            return false;
        }
        if (ran > 0 && !terms.idempotent()) {
            return false;
        }
        return !newestMayHaveRun || ran < terms.mostRuns();
    }
}
