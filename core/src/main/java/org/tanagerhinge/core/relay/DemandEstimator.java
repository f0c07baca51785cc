package org.tanagerhinge.core.relay;

/** Measures one node's demand for a service's engines; rates fade with a time constant. */
public final class DemandEstimator {
    /** Time constant of the rates: long enough to smooth single long prompts, short enough to follow a burst. */
    private static final double FADE_MILLIS = 1_500;

    /** Size of a short prompt taken until some came, in tokens. */
    private static final double FIRST_SHORT_PROMPT = 800;
    /** Weight of the newest request in the means of sizes and ranks. */
    private static final double NEWEST = 0.02;

    /** Mean ranks that are less than this apart are those of the same kinds of requests. */
    private static final double RANK_APART = 0.3;
    /** A rank of which no request came for this long doesn't count any more, in milliseconds. */
    private static final long RANK_MILLIS = 5_000;

    private int urgentShort = Integer.MAX_VALUE;
    private long urgentShortAt = Long.MIN_VALUE / 2;
    private double shortRank;
    private double longRank;
    private int shortRunning;
    private double shortTokens;
    private double longTokens;
    private double shortPrompt = FIRST_SHORT_PROMPT;
    private long last;

    private DemandEstimator(long now) {
        last = now;
    }

    /** Returns a meter that starts at a time in milliseconds. */
    public static DemandEstimator create(long now) {
        return new DemandEstimator(now);
    }

    /** Notes a request that was sent, with the tokens that its server has to read. */
    public void sent(boolean isLong, int tokens, long now) {
        fade(now);
        if (isLong) {
            longTokens += tokens;
        } else {
            shortTokens += tokens;
            shortPrompt += NEWEST * (tokens - shortPrompt);
            shortRunning++;
        }
    }

    /** Notes the rank of a request that was sent, 0 is the most urgent. */
    public void rank(boolean isLong, int rank, long now) {
        if (isLong) {
            longRank += NEWEST * (rank - longRank);
            return;
        }
        shortRank += NEWEST * (rank - shortRank);
        if (rank <= urgentShort || now - urgentShortAt > RANK_MILLIS) {
            urgentShort = rank;
            urgentShortAt = now;
        }
    }

    /** Returns the most urgent rank of short requests that were sent of late; the least urgent one if there were none. */
    public int urgentShort(long now) {
        return now - urgentShortAt > RANK_MILLIS ? Integer.MAX_VALUE : urgentShort;
    }

    /**
     * Returns whether short requests are more urgent than long ones: in the mean, since some requests of an urgent kind are
     * long ones.
     */
    public boolean shortMoreUrgent() {
        return shortRank + RANK_APART < longRank;
    }

    /** Notes the end of a short request. */
    public void shortEnded() {
        shortRunning--;
    }

    /** Returns the mean tokens that have to be read for a short prompt. */
    public double shortPrompt() {
        return shortPrompt;
    }

    /** Returns the demand at a time. */
    public LaneDemand demand(long now) {
        fade(now);
        double seconds = FADE_MILLIS / 1000;
        return new LaneDemand(shortRunning, shortTokens / seconds, longTokens / seconds);
    }

    private void fade(long now) {
        double keep = Math.exp(-(now - last) / FADE_MILLIS);
        shortTokens *= keep;
        longTokens *= keep;
        last = now;
    }
}
