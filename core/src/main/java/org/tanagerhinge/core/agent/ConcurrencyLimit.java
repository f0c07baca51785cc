package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Bounds how many requests are at the backend server at once.
 *
 * <p>Work handed to an engine cannot be taken back or put in another order, so no more is handed over than the engine
 * needs to run at a good rate. A batch beyond the knee of the engine's rate curve adds little rate and makes every
 * stream slower; the knee is where the rate grows by less than {@link Adaptive#MIN_ELASTICITY} percent for one
 * percent more requests. It is found by measuring, since it differs by engine, model and mix.
 */
sealed interface ConcurrencyLimit {
    /** Returns how many requests may be at the backend server. */
    int limit();

    /** Notes units produced by the backend server. */
    void recordOutput(long units);

    /** Notes the time between two pieces of output of one stream. */
    void recordGap(Duration gap);

    /**
     * Ends a measuring window if it is due.
     *
     * @param saturated whether the limit was reached and work was queued, which is when the rate says something about
     *     the limit
     */
    void tick(Instant now, boolean saturated);

    /** Sets the mean time between tokens that must not be exceeded; zero for none. */
    void maxMeanGap(Duration maxMeanGap);

    /** Returns a limit of the kind that options ask for. */
    static ConcurrencyLimit of(AgentOptions.ConcurrencyPolicy policy) {
        return switch (policy) {
            case AgentOptions.ConcurrencyPolicy.Adaptive adaptive ->
                new Adaptive(adaptive.initialLimit(), adaptive.maxLimit());
            case AgentOptions.ConcurrencyPolicy.Unbounded unbounded -> new Unbounded();
        };
    }

    /** No bound. */
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
        public void maxMeanGap(Duration maxMeanGap) {}
    }

    /** Climbs the measured rate curve to its knee and follows it when it moves. */
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

        /** A measured rate at one limit. */
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
        public void maxMeanGap(Duration maxMeanGap) {
            maxMeanGap = maxMeanGap;
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
                // Nothing is known any more of smaller limits: look at one, or the limit would only ever grow.
                limit = Math.max(1, (int) (limit * REFERENCE_RATIO));
            } else if (reference != null && elasticity(reference) < MIN_ELASTICITY) {
                kneeFound = true;
                limit = Math.max(1, (int) (limit * DECREASE_FACTOR));
            } else {
                // Until the knee was met once the limit opens fast, or the first burst waits for it.
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
