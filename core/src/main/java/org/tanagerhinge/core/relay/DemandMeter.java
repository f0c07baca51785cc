package org.tanagerhinge.core.relay;

/** Measures one node's demand for a service's engines; rates fade with a time constant. */
public final class DemandMeter {
    /** Time constant of the rates: long enough to smooth single long prompts, short enough to follow a burst. */
    private static final double FADE_MILLIS = 1_500;

    private int shortRunning;
    private double shortTokens;
    private double longTokens;
    private long last;

    private DemandMeter(long now) {
        last = now;
    }

    /** Returns a meter that starts at a time in milliseconds. */
    public static DemandMeter create(long now) {
        return new DemandMeter(now);
    }

    /** Notes a request that was sent, with the tokens that its server has to read. */
    public void sent(boolean isLong, int tokens, long now) {
        fade(now);
        if (isLong) {
            longTokens += tokens;
        } else {
            shortTokens += tokens;
            shortRunning++;
        }
    }

    /** Notes the end of a short request. */
    public void shortEnded() {
        shortRunning--;
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
