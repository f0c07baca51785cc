package org.tanagerhinge.core.relay;

/** Estimates the demand of one node's callers for the engines of a service, with exponentially decaying rates. */
public final class DemandEstimator {
    /** Time constant of the rates: smooths single long prompts and still follows a burst. */
    private static final double DECAY_MILLIS = 1_500;

    /** Mean size of a short prompt, in tokens, assumed before the first one. */
    private static final double INITIAL_SHORT_PROMPT_TOKENS = 800;
    /** Weight of the newest request in the moving averages of prompt sizes and ranks. */
    private static final double SMOOTHING = 0.02;

    /**
     * Smallest difference of mean ranks at which short requests count as more urgent than long ones; smaller
     * differences occur between requests of the same kinds.
     */
    private static final double MIN_RANK_DIFFERENCE = 0.3;
    /** Time after which the most urgent rank of short requests is forgotten if no request had it. */
    private static final long RANK_WINDOW_MILLIS = 5_000;

    private int mostUrgentShortRank = Integer.MAX_VALUE;
    private long mostUrgentShortRankMillis = Long.MIN_VALUE / 2;
    private double meanShortRank;
    private double meanLongRank;
    private int shortRankCount;
    private int longRankCount;
    private int shortInFlight;
    private double decayedShortTokens;
    private double decayedLongTokens;
    private double meanShortPromptTokens = INITIAL_SHORT_PROMPT_TOKENS;
    private long lastDecayMillis;

    private DemandEstimator(long nowMillis) {
        lastDecayMillis = nowMillis;
    }

    /** Creates an estimator that starts at a time in milliseconds. */
    public static DemandEstimator create(long nowMillis) {
        return new DemandEstimator(nowMillis);
    }

    /** Records a request that was sent, with the tokens that its server has to prefill. */
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

    /** Records the rank of a request that was sent; 0 is the most urgent. */
    public void recordRank(boolean isLong, int rank, long nowMillis) {
        if (isLong) {
            meanLongRank += rankWeight(++longRankCount) * (rank - meanLongRank);
            return;
        }
        meanShortRank += rankWeight(++shortRankCount) * (rank - meanShortRank);
        if (rank <= mostUrgentShortRank || nowMillis - mostUrgentShortRankMillis > RANK_WINDOW_MILLIS) {
            mostUrgentShortRank = rank;
            mostUrgentShortRankMillis = nowMillis;
        }
    }

    /** Returns the weight of the newest rank in a mean; the first ranks are averaged, not added to an assumed one. */
    private static double rankWeight(int count) {
        return Math.max(SMOOTHING, 1.0 / count);
    }

    /** Returns the most urgent rank among recent short requests; {@link Integer#MAX_VALUE} if there were none. */
    public int mostUrgentShortRank(long nowMillis) {
        return nowMillis - mostUrgentShortRankMillis > RANK_WINDOW_MILLIS ? Integer.MAX_VALUE : mostUrgentShortRank;
    }

    /**
     * Returns whether short requests are more urgent than long ones on average; single long requests may have an
     * urgent rank.
     */
    public boolean isShortMoreUrgent() {
        return meanShortRank + MIN_RANK_DIFFERENCE < meanLongRank;
    }

    /** Records the end of a short request. */
    public void recordShortEnd() {
        shortInFlight--;
    }

    /** Returns the mean number of tokens to prefill of a short prompt. */
    public double meanShortPromptTokens() {
        return meanShortPromptTokens;
    }

    /** Returns the demand at a time in milliseconds. */
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
