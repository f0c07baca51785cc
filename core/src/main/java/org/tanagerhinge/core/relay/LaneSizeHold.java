package org.tanagerhinge.core.relay;

/**
 * Holds the size of a lane at the largest one of the last moments.
 *
 * <p>A lane that follows every change of a swinging demand moves engines back and forth, and each move leaves cached
 * prompt parts behind. A lane that grows late lets its streams exceed their gaps, so only shrinking is delayed.
 */
final class LaneSizeHold {
    /** Length of the two periods whose largest size counts, in milliseconds. */
    private static final long PERIOD_MILLIS = 500;

    private long periodStartMillis;
    private int largestInPeriod;
    private int largestInPrevious;

    private LaneSizeHold() {}

    static LaneSizeHold create() {
        return new LaneSizeHold();
    }

    /** Returns the size to use at a time in milliseconds, given the size that the demand asks for. */
    int hold(int size, long nowMillis) {
        if (nowMillis - periodStartMillis >= PERIOD_MILLIS) {
            largestInPrevious = nowMillis - periodStartMillis >= 2 * PERIOD_MILLIS ? 0 : largestInPeriod;
            largestInPeriod = 0;
            periodStartMillis = nowMillis;
        }
        largestInPeriod = Math.max(largestInPeriod, size);
        return Math.max(largestInPeriod, largestInPrevious);
    }
}
