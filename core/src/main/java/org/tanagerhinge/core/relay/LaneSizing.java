package org.tanagerhinge.core.relay;

/**
 * Computes how many engines of a service are reserved for short prompts (the short lane).
 *
 * <p>An engine prefills a prompt in chunks between the decoding steps of its other requests, and each chunk delays
 * the next token of their streams. Streams with a tight bound on event gaps therefore share engines with each other
 * and not with long prompts. An engine runs many streams nearly as fast as few, so the short lane gets the fewest
 * engines that can serve its streams, and long prompts get the others.
 */
public final class LaneSizing {
    /**
     * Largest share of an engine's slots that short requests may use; the rest absorbs requests that peers haven't
     * reported.
     */
    static final double MAX_SLOT_SHARE = 0.8;
    /** Largest share of an event gap that the prefill of other prompts may take; the rest is for decoding steps. */
    private static final double MAX_GAP_SHARE = 0.85;
    /** Standard deviations above the mean number of prompts per event gap that must still fit into the gap. */
    private static final double STANDARD_DEVIATIONS = 1.5;
    /** Largest share of an engine's time for the prefill of long prompts; beyond it they queue behind each other. */
    static final double MAX_LONG_PREFILL_SHARE = 0.6;
    /**
     * Largest share of the engines for the short lane in a shortage, if short requests are more urgent than long
     * ones.
     */
    static final double MAX_URGENT_LANE_SHARE = 0.7;

    private LaneSizing() {}

    /**
     * Returns the number of engines in the short lane.
     *
     * @param engines engines that accept new work
     * @param slots requests that an engine runs at once
     * @param tokensPerMilli prompt tokens that an engine prefills per millisecond
     * @param shortPrefillShare share of an engine's time that the prefill of short prompts may take
     * @param shortMoreUrgent whether short requests are more urgent than long ones: in a shortage they then get the
     *     engines that they need, and excess long ones are rejected ({@link AdmissionControl}); otherwise both get
     *     fewer
     */
    public static int shortLaneSize(
            int engines,
            int slots,
            LaneDemand demand,
            double tokensPerMilli,
            double shortPrefillShare,
            boolean shortMoreUrgent) {
        if (engines <= 1 || demand.longTokensPerSecond() <= 0) {
            return engines;
        }
        double tokensPerSecond = tokensPerMilli * 1000;
        double enginesForShort = Math.max(
                demand.shortInFlight() / (MAX_SLOT_SHARE * Math.max(1, slots)),
                demand.shortTokensPerSecond() / (shortPrefillShare * tokensPerSecond));
        double enginesForLong = demand.longTokensPerSecond() / (MAX_LONG_PREFILL_SHARE * tokensPerSecond);
        double shortEngines = enginesForShort;
        if (enginesForShort + enginesForLong > engines) {
            shortEngines = shortMoreUrgent
                    ? Math.min(enginesForShort, MAX_URGENT_LANE_SHARE * engines)
                    : engines * enginesForShort / (enginesForShort + enginesForLong);
        }
        return (int) Math.min(engines - 1, Math.max(1, Math.ceil(shortEngines)));
    }

    /**
     * Returns the share of an engine's time that the prefill of short prompts may take, so that streams on the same
     * engine rarely exceed their event gap.
     *
     * <p>Arrivals are assumed to be Poisson: the number of prompts within a gap has its mean as variance. The mean is
     * chosen so that a margin of {@code STANDARD_DEVIATIONS} still fits into the gap.
     *
     * @param maxGapMillis longest event gap allowed
     * @param prefillMillis prefill time of one short prompt
     */
    public static double shortPrefillShare(double maxGapMillis, double prefillMillis) {
        double promptsPerGap = MAX_GAP_SHARE * maxGapMillis / prefillMillis;
        double sqrtMeanPrompts =
                Math.sqrt(STANDARD_DEVIATIONS * STANDARD_DEVIATIONS / 4 + promptsPerGap) - STANDARD_DEVIATIONS / 2;
        return sqrtMeanPrompts * sqrtMeanPrompts * prefillMillis / maxGapMillis;
    }
}
