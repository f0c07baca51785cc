package org.tanagerhinge.core.relay;

/**
 * Estimates the prefill rate of engines from the times to first event of long prompts.
 *
 * <p>A time to first event includes queueing, so each sample is a lower bound of the rate. The estimate follows
 * higher samples quickly and lower ones slowly.
 */
public final class PrefillRateEstimator {
    /** Smaller prompts are ignored, in tokens: their time to first event is mostly network latency. */
    private static final int MIN_TOKENS = 2_000;

    private static final double RISE_WEIGHT = 0.3;
    private static final double FALL_WEIGHT = 0.01;

    /** Samples needed before the estimate counts as measured; with fewer it is hardly better than the initial rate. */
    private static final int MIN_SAMPLES = 5;

    private double tokensPerMilli;
    private int samples;
    private boolean adopted;

    private PrefillRateEstimator(double initialTokensPerMilli) {
        tokensPerMilli = initialTokensPerMilli;
    }

    /** Creates an estimator with an initial rate. */
    public static PrefillRateEstimator create(double initialTokensPerMilli) {
        return new PrefillRateEstimator(initialTokensPerMilli);
    }

    /**
     * Records the time to first event of a prompt with a number of tokens to prefill.
     *
     * @param workTime usual work time of the engine relative to nominal; the estimate is the rate of a nominal engine
     */
    public void recordPrefill(int tokens, double workTime, long firstEventMillis) {
        if (tokens < MIN_TOKENS || firstEventMillis <= 0) {
            return;
        }
        samples++;
        double sample = tokens * workTime / firstEventMillis;
        tokensPerMilli += (sample > tokensPerMilli ? RISE_WEIGHT : FALL_WEIGHT) * (sample - tokensPerMilli);
    }

    /** Takes over a rate that other nodes have measured, until this one has measured its own. */
    public void adopt(double peerTokensPerMilli) {
        if (!isMeasured()) {
            adopted = true;
            tokensPerMilli = peerTokensPerMilli;
        }
    }

    /** Returns whether the rate is based on this node's own measurements. */
    public boolean isMeasured() {
        return samples >= MIN_SAMPLES;
    }

    /** Returns whether the rate is based on measurements, of this node or others, rather than on the initial value. */
    public boolean isKnown() {
        return adopted || isMeasured();
    }

    public double tokensPerMilli() {
        return tokensPerMilli;
    }
}
