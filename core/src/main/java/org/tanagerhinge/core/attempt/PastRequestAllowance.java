package org.tanagerhinge.core.attempt;

import java.util.Arrays;

/**
 * Limits the retries of any window to a ratio of this node's requests in the window that begins half a window earlier.
 *
 * <p>All nodes compare the same two windows, so the sum of their retries is limited by the sum of their requests, also if
 * callers move from one node to another. A node without requests in its past allows nothing.
 */
final class PastRequestAllowance {
    private static final int SLOTS_PER_WINDOW = 100;
    /** Slots of a window and of half a window before it, and the current one. */
    private static final int SLOTS = SLOTS_PER_WINDOW + SLOTS_PER_WINDOW / 2 + 1;

    private final long slotMillis;
    private final double[] requests = new double[SLOTS];
    private final double[] spent = new double[SLOTS];
    private final int[] retries = new int[SLOTS];
    private long currentSlot = Long.MIN_VALUE;

    private PastRequestAllowance(long slotMillis) {
        this.slotMillis = slotMillis;
    }

    /** Returns an allowance without requests. */
    static PastRequestAllowance of(long windowMillis) {
        return new PastRequestAllowance(Math.max(1, windowMillis / SLOTS_PER_WINDOW));
    }

    void recordRequest(long nowMillis) {
        advance(nowMillis);
        requests[index(0)]++;
    }

    /**
     * Records a retry.
     *
     * @param cost part of it that this allowance pays for
     */
    void recordRetry(double cost, long nowMillis) {
        advance(nowMillis);
        spent[index(0)] += cost;
        retries[index(0)]++;
    }

    /** Returns the number of retries in the last window. */
    int retries(long nowMillis) {
        advance(nowMillis);
        int sum = 0;
        for (int age = 0; age < SLOTS_PER_WINDOW; age++) {
            sum += retries[index(age)];
        }
        return sum;
    }

    /** Returns how much may still be spent without exceeding the limit of any window that contains this moment. */
    double available(double ratio, long nowMillis) {
        advance(nowMillis);
        double[] requestsSince = new double[SLOTS + 1];
        for (int age = 0; age < SLOTS; age++) {
            requestsSince[age + 1] = requestsSince[age] + requests[index(age)];
        }
        double spentSince = 0;
        double available = Double.MAX_VALUE;
        for (int age = 0; age <= SLOTS_PER_WINDOW; age++) {
            // A window may begin anywhere within this slot, so only whole slots of the other window count.
            spentSince += spent[index(age)];
            double counted = requestsSince[age + SLOTS_PER_WINDOW / 2]
                    - requestsSince[Math.max(0, age - SLOTS_PER_WINDOW / 2 + 1)];
            available = Math.min(available, ratio * counted - spentSince);
        }
        return Math.max(0, available);
    }

    private int index(int age) {
        return (int) Math.floorMod(currentSlot - age, (long) SLOTS);
    }

    /** Clears the slots that the time since the last call has passed. */
    private void advance(long nowMillis) {
        long slot = Math.floorDiv(nowMillis, slotMillis);
        if (currentSlot == Long.MIN_VALUE || slot - currentSlot >= SLOTS) {
            Arrays.fill(requests, 0);
            Arrays.fill(spent, 0);
            Arrays.fill(retries, 0);
            currentSlot = slot;
        }
        while (currentSlot < slot) {
            currentSlot++;
            requests[index(0)] = 0;
            spent[index(0)] = 0;
            retries[index(0)] = 0;
        }
    }
}
