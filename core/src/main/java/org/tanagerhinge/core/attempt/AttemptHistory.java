package org.tanagerhinge.core.attempt;

/**
 * Tracks the attempts of one request and decides whether it may be retried.
 *
 * <p>All interfaces use this decision. It guards against running a non-idempotent request twice after an attempt whose
 * outcome is unknown, and against endless retries of a request that no server can answer.
 */
public final class AttemptHistory {
    /** Remaining time below which a retry could hardly be answered in time. */
    private static final long MIN_REMAINING_MILLIS = 30;

    /** Unreachable servers after which a request is abandoned; each costs up to the timeout of a connection. */
    private static final int MAX_UNREACHABLE_SERVERS = 8;

    private final AttemptLimits limits;
    private int unreachableCount;
    private int sendCount;
    private int possibleRunCount;
    private int refusalCount;

    private AttemptHistory(AttemptLimits limits) {
        this.limits = limits;
    }

    /** Creates the history of a request that has not been sent yet. */
    public static AttemptHistory of(AttemptLimits limits) {
        return new AttemptHistory(limits);
    }

    /** Records that the request is sent. */
    public void recordSend() {
        sendCount++;
    }

    /**
     * Records the end of an attempt.
     *
     * @param mayHaveRun whether that attempt may have run
     */
    public void recordEnd(boolean mayHaveRun) {
        if (mayHaveRun) {
            possibleRunCount++;
        } else {
            refusalCount++;
        }
    }

    /** Records that an attempt met a server that can't be reached, so that nothing was sent. */
    public void recordUnreachable() {
        sendCount--;
        unreachableCount++;
    }

    /** Returns whether a server could not be reached. */
    public boolean metUnreachableServer() {
        return unreachableCount > 0;
    }

    /** Returns how often the request was sent. */
    public int sendCount() {
        return sendCount;
    }

    /** Returns whether any attempt that has ended may have run. */
    public boolean mayHaveRun() {
        return possibleRunCount > 0;
    }

    /**
     * Returns whether the request may be sent again after its newest attempt has ended.
     *
     * @param newestMayHaveRun whether that attempt may have run
     * @param remainingMillis time left until the request is abandoned
     */
    public boolean mayRetry(boolean newestMayHaveRun, long remainingMillis) {
        return allowsRetry(newestMayHaveRun, possibleRunCount, remainingMillis);
    }

    /**
     * Returns whether the request could be sent again if its attempts in progress ended now and may have run, or run on.
     *
     * @param inProgress number of attempts in progress
     * @param remainingMillis time left until the request is abandoned
     */
    public boolean couldRetryAfterRuns(int inProgress, long remainingMillis) {
        return allowsRetry(true, possibleRunCount + inProgress, remainingMillis);
    }

    private boolean allowsRetry(boolean newestMayHaveRun, int possibleRuns, long remainingMillis) {
        if (remainingMillis < MIN_REMAINING_MILLIS
                || sendCount >= limits.maxSends()
                || refusalCount > limits.maxRefusals()
                || unreachableCount >= MAX_UNREACHABLE_SERVERS) {
            return false;
        }
        if (possibleRuns > 0 && !limits.idempotent()) {
            return false;
        }
        return !newestMayHaveRun || possibleRuns < limits.maxRuns();
    }
}
