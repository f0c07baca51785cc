package org.tanagerhinge.core.relay;

/**
 * Estimates how much slower than usual the servers of a service get at times, as a high quantile.
 *
 * <p>A stream meets its event gaps only if it meets them in the slow moments of its engine, so a mean doesn't tell how
 * much other work the engine can take.
 */
final class SlownessEstimator {
    /** Share of the time in which servers may be slower than the estimate. */
    private static final double EXCEEDED_SHARE = 0.05;
    /** Time constant in milliseconds by which samples lose their weight: many slow moments, so that all nodes agree. */
    private static final double DECAY_MILLIS = 20_000;
    /** Weight of samples from which the quantile is known: a single one of fewer would be above it. */
    private static final double MIN_WEIGHT = 20;
    /** Buckets for each doubling of the slowness. */
    private static final int BUCKETS_PER_DOUBLING = 8;

    private static final int BUCKET_COUNT = 40;

    private final double[] weights = new double[BUCKET_COUNT];
    private double totalWeight;
    private long lastMillis;

    private SlownessEstimator() {}

    static SlownessEstimator create() {
        return new SlownessEstimator();
    }

    /** Records how many times longer than usual work took on a server. */
    void record(double slowness, long nowMillis) {
        decay(nowMillis);
        int bucket = (int) Math.round(Math.log(slowness) / Math.log(2) * BUCKETS_PER_DOUBLING);
        weights[Math.max(0, Math.min(BUCKET_COUNT - 1, bucket))]++;
        totalWeight++;
    }

    /**
     * Reduces the weight of all samples; the time of a sample that a peer reports may be before that of the latest one.
     */
    private void decay(long nowMillis) {
        if (nowMillis <= lastMillis) {
            return;
        }
        double factor = Math.exp((lastMillis - nowMillis) / DECAY_MILLIS);
        for (int i = 0; i < BUCKET_COUNT; i++) {
            weights[i] *= factor;
        }
        totalWeight *= factor;
        lastMillis = nowMillis;
    }

    /** Returns the quantile at a time in milliseconds, at least 1; 1 while there are too few recent samples. */
    double quantile(long nowMillis) {
        decay(nowMillis);
        if (totalWeight < MIN_WEIGHT) {
            return 1;
        }
        double slower = 0;
        int bucket = BUCKET_COUNT - 1;
        while (bucket > 0 && slower + weights[bucket] <= EXCEEDED_SHARE * totalWeight) {
            slower += weights[bucket];
            bucket--;
        }
        return Math.pow(2, bucket / (double) BUCKETS_PER_DOUBLING);
    }
}
