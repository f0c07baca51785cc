package org.tanagerhinge.core.relay;

/** Whether a request may be sent to one more backend server. */
public final class RetryRules {
    /** Sends beyond those that may have run: a refusal costs little, but each one draws on the shared budget. */
    private static final int MORE_SENDS = 2;
    /** A repeat with less time left than this can hardly be answered in time, in milliseconds. */
    private static final long LEAST_LEFT_MILLIS = 30;

    private RetryRules() {}

    /**
     * Decides.
     *
     * @param end how the newest attempt ended
     * @param runs attempts so far that may have run
     * @param sends attempts so far, whether they may have run or not
     * @param leftMillis time until the request is given up
     */
    public static boolean mayRepeat(Route route, AttemptEnd end, int runs, int sends, long leftMillis) {
        if (leftMillis < LEAST_LEFT_MILLIS || sends >= route.maxAttempts() + MORE_SENDS) {
            return false;
        }
        if (runs > 0 && !route.idempotent()) {
            return false;
        }
        return end.mayHaveRun() ? runs < route.maxAttempts() : true;
    }
}
