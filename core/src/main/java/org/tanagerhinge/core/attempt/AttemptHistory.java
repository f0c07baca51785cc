package org.tanagerhinge.core.attempt;

/**
 * The attempts of one request so far, and whether another one may follow.
 *
 * <p>The one place that decides this, for requests of every interface. What goes wrong without it: a request that must not
 * run twice is sent again after an attempt whose fate is not known, or one that nobody can answer is sent for ever.
 */
public final class AttemptHistory {
    /** A repeat with less time left than this can hardly be answered in time, in milliseconds. */
    private static final long MIN_REMAINING_MILLIS = 30;

    private final AttemptLimits limits;
    private int sendCount;
    private int possibleRunCount;
    private int refusalCount;

    private AttemptHistory(AttemptLimits limits) {
        this.limits = limits;
    }

    /** Returns the history of a request that hasn't been sent yet. */
    public static AttemptHistory of(AttemptLimits limits) {
        return new AttemptHistory(limits);
    }

    /** Notes that the request is sent. */
    public void recordSend() {
        sendCount++;
    }

    /** Notes how its newest attempt ended. */
    public void recordEnd(boolean mayHaveRun) {
        if (mayHaveRun) {
            possibleRunCount++;
        } else {
            refusalCount++;
        }
    }

    /** Returns how often it was sent. */
    public int sendCount() {
        return sendCount;
    }

    /** Returns whether any attempt that has ended may have run. */
    public boolean mayHaveRun() {
        return possibleRunCount > 0;
    }

    /**
     * Returns whether it may be sent again, now that its newest attempt has ended.
     *
     * @param newestMayHaveRun whether that attempt may have run
     * @param leftMillis time until the request is given up
     */
    public boolean mayRetry(boolean newestMayHaveRun, long remainingMillis) {
        return allowsRetry(newestMayHaveRun, possibleRunCount, remainingMillis);
    }

    /** Returns whether it could be sent again, were its newest attempt to end now as one that may have run. */
    public boolean couldRetryAfterRun(long remainingMillis) {
        return allowsRetry(true, possibleRunCount + 1, remainingMillis);
    }

    private boolean allowsRetry(boolean newestMayHaveRun, int possibleRuns, long remainingMillis) {
        if (remainingMillis < MIN_REMAINING_MILLIS
                || sendCount >= limits.maxSends()
                || refusalCount > limits.maxRefusals()) {
            return false;
        }
        if (possibleRuns > 0 && !limits.idempotent()) {
            return false;
        }
        return !newestMayHaveRun || possibleRuns < limits.maxRuns();
    }
}
