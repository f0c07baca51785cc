package org.tanagerhinge.core.duty;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tells the time by the steady clock and the median of the latest differences between the wall-clock time and the
 * steady clock. A step of the wall clocks that lasts less than half of the history does not affect it.
 */
final class ClockHistory {
    private static final long SAMPLE_INTERVAL_MILLIS = 1_000;
    /** A step of the clocks that lasts less than 15 s doesn't move the median; one that lasts longer does. */
    private static final int MAX_SAMPLES = 30;

    private final Deque<Long> offsetsMillis = new ArrayDeque<>();
    private long nextSampleMillis = Long.MIN_VALUE;

    private ClockHistory() {}

    /** Returns the history of a process that has just started. */
    static ClockHistory create() {
        return new ClockHistory();
    }

    /** Records the wall-clock time, if the latest sample is old enough. */
    void record(long steadyMillis, long epochMillis) {
        if (steadyMillis < nextSampleMillis) {
            return;
        }
        nextSampleMillis = steadyMillis + SAMPLE_INTERVAL_MILLIS;
        offsetsMillis.addLast(epochMillis - steadyMillis);
        if (offsetsMillis.size() > MAX_SAMPLES) {
            offsetsMillis.removeFirst();
        }
    }

    /** Returns the time in milliseconds since the Unix epoch; something must have been recorded. */
    long epochMillis(long steadyMillis) {
        long[] sorted =
                offsetsMillis.stream().mapToLong(Long::longValue).sorted().toArray();
        return sorted[(sorted.length - 1) / 2] + steadyMillis;
    }
}
