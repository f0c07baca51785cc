package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Limits the number of requests at the backend server.
 *
 * <p>Requests handed to an engine can no longer be reordered or returned, so only as many are handed over as the
 * engine needs for a good throughput. A batch beyond the knee of the engine's throughput curve adds little throughput
 * and slows every stream; the knee is where the throughput grows by less than {@link Adaptive#MIN_ELASTICITY} percent
 * per percent of additional requests. It is measured, since it differs by engine, model and workload.
 */
sealed interface ConcurrencyLimit {
    /** Returns the maximum number of requests at the backend server. */
    int limit();

    /** Records units produced by the backend server. */
    void recordOutput(long units);

    /** Records the gap between two pieces of output of one stream. */
    void recordGap(Duration gap);

    /**
     * Ends the measurement window if it is due.
     *
     * @param saturated whether the limit is reached and requests are queued; only then does the throughput depend on
     *     the limit
     */
    void tick(Instant now, boolean saturated);

    /** Sets the maximum mean gap between tokens; zero for none. */
    void maxMeanGap(Duration newMaxMeanGap);

    /** Creates the limit that a policy selects. */
    static ConcurrencyLimit of(AgentOptions.ConcurrencyPolicy policy) {
        return switch (policy) {
            case AgentOptions.ConcurrencyPolicy.Adaptive adaptive ->
                new Adaptive(adaptive.initialLimit(), adaptive.maxLimit());
            case AgentOptions.ConcurrencyPolicy.Unbounded unbounded -> new Unbounded();
        };
    }

    /** Sets no limit. */
    final class Unbounded implements ConcurrencyLimit {
        @Override
        public int limit() {
            return Integer.MAX_VALUE;
        }

        @Override
        public void recordOutput(long units) {}

        @Override
        public void recordGap(Duration gap) {}

        @Override
        public void tick(Instant now, boolean saturated) {}

        @Override
        public void maxMeanGap(Duration newMaxMeanGap) {}
    }

    /** Adapts the limit to the knee of the measured throughput curve. */
    final class Adaptive implements ConcurrencyLimit {
        static final double MIN_ELASTICITY = 0.3;
        private static final Duration WINDOW = Duration.ofMillis(500);
        private static final Duration SAMPLE_TTL = Duration.ofSeconds(45);
        private static final double REFERENCE_RATIO = 0.75;
        private static final double RATE_SMOOTHING = 0.5;
        private static final int GROWTH_DIVISOR = 8;
        private static final int INITIAL_GROWTH_DIVISOR = 2;
        private static final double DECREASE_FACTOR = 0.85;
        private static final double GAP_MARGIN = 0.9;
        private static final int MIN_GAP_SAMPLES = 8;

        /** Holds the smoothed throughput at one limit. */
        private record RateSample(double unitsPerSecond, Instant measuredAt) {}

        private final int maxLimit;
        private final TreeMap<Integer, RateSample> rateByLimit = new TreeMap<>();
        private int limit;
        private boolean kneeFound;
        private Duration maxMeanGap = Duration.ZERO;
        private Instant windowStart = Instant.MIN;
        private boolean windowSaturated = true;
        private long windowUnits;
        private long gapCount;
        private long totalGapNanos;

        Adaptive(int initialLimit, int maxLimit) {
            this.limit = initialLimit;
            this.maxLimit = maxLimit;
        }

        @Override
        public int limit() {
            return limit;
        }

        @Override
        public void recordOutput(long units) {
            windowUnits += units;
        }

        @Override
        public void recordGap(Duration gap) {
            gapCount++;
            totalGapNanos += gap.toNanos();
        }

        @Override
        public void maxMeanGap(Duration newMaxMeanGap) {
            maxMeanGap = newMaxMeanGap;
        }

        @Override
        public void tick(Instant now, boolean saturated) {
            if (windowStart.equals(Instant.MIN)) {
                startWindow(now);
                return;
            }
            windowSaturated &= saturated;
            Duration length = Duration.between(windowStart, now);
            if (length.compareTo(WINDOW) < 0) {
                return;
            }
            if (gapExceeded()) {
                kneeFound = true;
                limit = Math.max(1, (int) (limit * DECREASE_FACTOR));
            } else if (windowSaturated) {
                recordRate(windowUnits / (length.toNanos() / 1e9), now);
                adjustLimit();
            }
            startWindow(now);
        }

        private boolean gapExceeded() {
            return !maxMeanGap.isZero()
                    && gapCount >= MIN_GAP_SAMPLES
                    && totalGapNanos / gapCount > maxMeanGap.toNanos() * GAP_MARGIN;
        }

        private void recordRate(double unitsPerSecond, Instant now) {
            rateByLimit
                    .values()
                    .removeIf(sample -> sample.measuredAt().plus(SAMPLE_TTL).isBefore(now));
            RateSample previous = rateByLimit.get(limit);
            double smoothed = previous == null
                    ? unitsPerSecond
                    : previous.unitsPerSecond() * (1 - RATE_SMOOTHING) + unitsPerSecond * RATE_SMOOTHING;
            rateByLimit.put(limit, new RateSample(smoothed, now));
        }

        private void adjustLimit() {
            Map.Entry<Integer, RateSample> reference = rateByLimit.floorEntry((int) (limit * REFERENCE_RATIO));
            boolean referenceExpired = reference == null && kneeFound && rateByLimit.higherKey(limit) == null;
            if (referenceExpired) {
                // All samples at smaller limits have expired: without a new one the limit would only grow.
                limit = Math.max(1, (int) (limit * REFERENCE_RATIO));
            } else if (reference != null && elasticity(reference) < MIN_ELASTICITY) {
                kneeFound = true;
                limit = Math.max(1, (int) (limit * DECREASE_FACTOR));
            } else {
                // Grows fast until the knee is first found, so that the first burst does not wait for the limit.
                int divisor = kneeFound ? GROWTH_DIVISOR : INITIAL_GROWTH_DIVISOR;
                limit = Math.min(maxLimit, limit + Math.max(1, limit / divisor));
            }
        }

        private double elasticity(Map.Entry<Integer, RateSample> reference) {
            double rateRatio = rateByLimit.get(limit).unitsPerSecond()
                    / Math.max(1e-9, reference.getValue().unitsPerSecond());
            double limitRatio = (double) limit / reference.getKey();
            return Math.log(Math.max(1e-9, rateRatio)) / Math.log(limitRatio);
        }

        private void startWindow(Instant now) {
            windowStart = now;
            windowSaturated = true;
            windowUnits = 0;
            gapCount = 0;
            totalGapNanos = 0;
        }
    }
}
