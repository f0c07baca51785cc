package org.tanagerhinge.core.relay;

/** Measures one node's demand for a service's engines; rates fade with a time constant. */
public final class DemandEstimator {
    /** Time constant of the rates: long enough to smooth single long prompts, short enough to follow a burst. */
    private static final double DECAY_MILLIS = 1_500;

    /** Size of a short prompt taken until some came, in tokens. */
    private static final double INITIAL_SHORT_PROMPT_TOKENS = 800;
    /** Weight of the newest request in the means of sizes and ranks. */
    private static final double SMOOTHING = 0.02;

    /** Mean ranks that are less than this apart are those of the same kinds of requests. */
    private static final double MIN_RANK_DIFFERENCE = 0.3;
    /** A rank of which no request came for this long doesn't count any more, in milliseconds. */
    private static final long RANK_WINDOW_MILLIS = 5_000;

    private int mostUrgentShortRank = Integer.MAX_VALUE;
    private long mostUrgentShortRankMillis = Long.MIN_VALUE / 2;
    private double meanShortRank;
    private double meanLongRank;
    private int shortInFlight;
    private double decayedShortTokens;
    private double decayedLongTokens;
    private double meanShortPromptTokens = INITIAL_SHORT_PROMPT_TOKENS;
    private long lastDecayMillis;

    private DemandEstimator(long nowMillis) {
        lastDecayMillis = nowMillis;
    }

    /** Returns a meter that starts at a time in milliseconds. */
    public static DemandEstimator create(long nowMillis) {
        return new DemandEstimator(nowMillis);
    }

    /** Notes a request that was sent, with the tokens that its server has to read. */
    public void recordPrompt(boolean isLong, int tokensToPrefill, long nowMillis) {
        decay(nowMillis);
        if (isLong) {
            decayedLongTokens += tokensToPrefill;
        } else {
            decayedShortTokens += tokensToPrefill;
            meanShortPromptTokens += SMOOTHING * (tokensToPrefill - meanShortPromptTokens);
            shortInFlight++;
        }
    }

    /** Notes the rank of a request that was sent, 0 is the most urgent. */
    public void recordRank(boolean isLong, int rank, long nowMillis) {
        if (isLong) {
            meanLongRank += SMOOTHING * (rank - meanLongRank);
            return;
        }
        meanShortRank += SMOOTHING * (rank - meanShortRank);
        if (rank <= mostUrgentShortRank || nowMillis - mostUrgentShortRankMillis > RANK_WINDOW_MILLIS) {
            mostUrgentShortRank = rank;
            mostUrgentShortRankMillis = nowMillis;
        }
    }

    /** Returns the most urgent rank of short requests that were sent of late; the least urgent one if there were none. */
    public int mostUrgentShortRank(long nowMillis) {
        return nowMillis - mostUrgentShortRankMillis > RANK_WINDOW_MILLIS ? Integer.MAX_VALUE : mostUrgentShortRank;
    }

    /**
     * Returns whether short requests are more urgent than long ones: in the mean, since some requests of an urgent kind are
     * long ones.
     */
    public boolean isShortMoreUrgent() {
        return meanShortRank + MIN_RANK_DIFFERENCE < meanLongRank;
    }

    /** Notes the end of a short request. */
    public void recordShortEnd() {
        shortInFlight--;
    }

    /** Returns the mean tokens that have to be read for a short prompt. */
    public double meanShortPromptTokens() {
        return meanShortPromptTokens;
    }

    /** Returns the demand at a time. */
    public LaneDemand demand(long nowMillis) {
        decay(nowMillis);
        double decaySeconds = DECAY_MILLIS / 1000;
        return new LaneDemand(shortInFlight, decayedShortTokens / decaySeconds, decayedLongTokens / decaySeconds);
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-(nowMillis - lastDecayMillis) / DECAY_MILLIS);
        decayedShortTokens *= factor;
        decayedLongTokens *= factor;
        lastDecayMillis = nowMillis;
    }
}
