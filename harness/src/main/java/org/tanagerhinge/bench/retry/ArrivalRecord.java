package org.tanagerhinge.bench.retry;

import java.util.Arrays;

/**
 * Records what arrives at a service, and finds the window that uses most of the budget of retries.
 *
 * <p>In any window, the arrivals beyond the first of each request are limited to a ratio of the requests that callers sent
 * and a fixed slack. The requests are those of that window, of the one before or of the one half a window before, whichever
 * has most.
 */
public final class ArrivalRecord {
    /** Resolution of the record; windows begin at its multiples. */
    private static final int SLOT_MILLIS = 10;

    private final double ratio;
    private final double slack;
    private final int windowSlots;
    private final long[] requests;
    private final long[] retries;

    private ArrivalRecord(double ratio, double slack, int windowSlots, int slots) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowSlots = windowSlots;
        this.requests = new long[slots];
        this.retries = new long[slots];
    }

    /**
     * Creates an empty record.
     *
     * @param ratio retries for each request in a window
     * @param slack retries in a window in addition
     * @param windowMillis length of a window
     * @param durationMillis time from the start that is recorded; what comes later is left out
     */
    public static ArrivalRecord of(double ratio, double slack, long windowMillis, long durationMillis) {
        return new ArrivalRecord(
                ratio, slack, (int) (windowMillis / SLOT_MILLIS), (int) (durationMillis / SLOT_MILLIS) + 1);
    }

    /** Records that a caller sent a request, at a time since the start. */
    public synchronized void requestSent(long atMillis) {
        add(requests, atMillis);
    }

    /** Records the arrival of a request that had arrived at the service before, at a time since the start. */
    public synchronized void retryArrived(long atMillis) {
        add(retries, atMillis);
    }

    private static void add(long[] counts, long atMillis) {
        int slot = (int) (atMillis / SLOT_MILLIS);
        if (slot >= 0 && slot < counts.length) {
            counts[slot]++;
        }
    }

    /**
     * Describes a window.
     *
     * @param retries arrivals beyond the first of each request
     * @param requests requests that count for the window
     * @param allowed largest number of such arrivals
     */
    public record Window(long fromMillis, long retries, long requests, double allowed) {
        /** Returns the share of what is allowed that is used. */
        double used() {
            return retries == 0 ? 0 : retries / allowed;
        }

        /** Returns whether the budget is exceeded. */
        public boolean exceeded() {
            return retries > allowed;
        }

        @Override
        public String toString() {
            return retries + " retries for " + requests + " requests from " + fromMillis + " ms, " + Math.round(allowed)
                    + " allowed";
        }
    }

    /** Returns the window that uses the largest share of what is allowed. */
    public synchronized Window worst() {
        long[] requestSums = sums(requests);
        long[] retrySums = sums(retries);
        Window worst = null;
        for (int from = 0; from < requests.length; from++) {
            long counted = Math.max(
                    between(requestSums, from, from + windowSlots),
                    Math.max(
                            between(requestSums, from - windowSlots, from),
                            between(requestSums, from - windowSlots / 2, from + windowSlots / 2)));
            Window window = new Window(
                    (long) from * SLOT_MILLIS,
                    between(retrySums, from, from + windowSlots),
                    counted,
                    ratio * counted + slack);
            if (worst == null || window.used() > worst.used()) {
                worst = window;
            }
        }
        return worst;
    }

    /** Returns the number of retries that arrived. */
    public synchronized long retries() {
        return Arrays.stream(retries).sum();
    }

    private static long[] sums(long[] counts) {
        long[] sums = new long[counts.length + 1];
        for (int i = 0; i < counts.length; i++) {
            sums[i + 1] = sums[i] + counts[i];
        }
        return sums;
    }

    private static long between(long[] sums, int from, int to) {
        return sums[Math.clamp(to, 0, sums.length - 1)] - sums[Math.clamp(from, 0, sums.length - 1)];
    }
}
