package org.tanagerhinge.core.relay;

/**
 * Measures how fast engines read prompts, from the times to first events of long prompts.
 *
 * <p>A time to first event includes waiting, so slow readings say little and fast ones much: the estimate follows faster
 * readings quickly and slower ones slowly.
 */
public final class PrefillRateEstimator {
    /** Prompts below this tell more of the network than of reading, in tokens. */
    private static final int MIN_TOKENS = 2_000;

    private static final double RISE_WEIGHT = 0.3;
    private static final double FALL_WEIGHT = 0.01;

    /** Readings before which the estimate is hardly more than the guess. */
    private static final int MIN_SAMPLES = 5;

    private double tokensPerMilli;
    private int samples;

    private PrefillRateEstimator(double initialTokensPerMilli) {
        tokensPerMilli = initialTokensPerMilli;
    }

    /** Returns a meter that begins with a guess. */
    public static PrefillRateEstimator create(double initialTokensPerMilli) {
        return new PrefillRateEstimator(initialTokensPerMilli);
    }

    /** Notes that a prompt's reading of some tokens took some time up to the first event. */
    public void recordPrefill(int tokens, long firstEventMillis) {
        if (tokens < MIN_TOKENS || firstEventMillis <= 0) {
            return;
        }
        samples++;
        double sample = (double) tokens / firstEventMillis;
        tokensPerMilli += (sample > tokensPerMilli ? RISE_WEIGHT : FALL_WEIGHT) * (sample - tokensPerMilli);
    }

    /** Returns whether the speed was measured, and is not just the guess. */
    public boolean isMeasured() {
        return samples >= MIN_SAMPLES;
    }

    public double tokensPerMilli() {
        return tokensPerMilli;
    }
}
