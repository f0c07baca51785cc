package org.tanagerhinge.core.relay;

/**
 * Measures how fast engines read prompts, from the times to first events of long prompts.
 *
 * <p>A time to first event includes waiting, so slow readings say little and fast ones much: the estimate follows faster
 * readings quickly and slower ones slowly.
 */
public final class PrefillRateEstimator {
    /** Prompts below this tell more of the network than of reading, in tokens. */
    private static final int LEAST_TOKENS = 2_000;

    private static final double FASTER = 0.3;
    private static final double SLOWER = 0.01;

    /** Readings before which the estimate is hardly more than the guess. */
    private static final int FEW = 5;

    private double tokensPerMilli;
    private int readings;

    private PrefillRateEstimator(double first) {
        tokensPerMilli = first;
    }

    /** Returns a meter that begins with a guess. */
    public static PrefillRateEstimator create(double first) {
        return new PrefillRateEstimator(first);
    }

    /** Notes that a prompt's reading of some tokens took some time up to the first event. */
    public void read(int tokens, long millis) {
        if (tokens < LEAST_TOKENS || millis <= 0) {
            return;
        }
        readings++;
        double sample = (double) tokens / millis;
        tokensPerMilli += (sample > tokensPerMilli ? FASTER : SLOWER) * (sample - tokensPerMilli);
    }

    /** Returns whether the speed was measured, and is not just the guess. */
    public boolean measured() {
        return readings >= FEW;
    }

    public double tokensPerMilli() {
        return tokensPerMilli;
    }
}
