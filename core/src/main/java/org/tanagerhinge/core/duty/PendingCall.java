package org.tanagerhinge.core.duty;

/** Tracks whether a call is in flight, so that the next one waits for its reply, but not for one that never comes. */
final class PendingCall {
    /** Longer than the timeouts of a call and of the reads of several pages. */
    static final long LOST_AFTER_MILLIS = 20_000;

    private static final long NONE = Long.MIN_VALUE;

    private long sentAtMillis = NONE;

    void sent(long nowMillis) {
        sentAtMillis = nowMillis;
    }

    void ended() {
        sentAtMillis = NONE;
    }

    /** Returns whether a call is in flight that may still be answered. */
    boolean inFlight(long nowMillis) {
        return sentAtMillis != NONE && nowMillis - sentAtMillis < LOST_AFTER_MILLIS;
    }
}
