package org.tanagerhinge.core.relay;

/**
 * How many of a service's engines are kept for requests with short prompts.
 *
 * <p>Answers the load pattern of long prompts that arrive beside running streams: an engine reads a prompt in pieces
 * between the tokens of its other requests, so that each of those pauses for the length of a piece. Streams with a tight
 * bound on pauses therefore share engines with each other and not with long prompts. Many streams run on one engine
 * nearly as fast as few, so the short lane is packed: it gets as few engines as hold its streams, and the long prompts get
 * the room.
 */
public final class LaneSizing {
    /** Share of an engine's slots that short requests may fill: the rest absorbs what peers send unseen. */
    private static final double MAX_SLOT_SHARE = 0.8;
    /** Part of the allowed pause that the reading of other prompts may fill; the rest are the steps themselves. */
    private static final double MAX_GAP_SHARE = 0.85;
    /** How many standard deviations above the mean the prompts that arrive within one pause must still fit into it. */
    private static final double STANDARD_DEVIATIONS = 1.5;
    /** Share of an engine's time that the reading of long prompts may take: more makes them wait for each other. */
    private static final double MAX_LONG_PREFILL_SHARE = 0.6;
    /** Share of the engines that the short lane may take in a shortage if its requests are the more urgent ones. */
    private static final double MAX_URGENT_LANE_SHARE = 0.7;

    private LaneSizing() {}

    /**
     * Returns the number of engines for short prompts.
     *
     * @param engines how many take new work
     * @param slots requests that one runs at once
     * @param tokensPerMilli prompt tokens that one reads in a millisecond
     * @param shortReading share of an engine's time that the reading of short prompts may take
     * @param shortFirst whether short requests are more urgent than long ones: in a shortage they get what they need, and
     *     what is over of the long ones is turned away ({@link AdmissionControl}); otherwise both get less
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
     * Returns the share of an engine's time that the reading of short prompts may take, so that streams beside it seldom
     * pause longer than they may.
     *
     * <p>Prompts arrive by chance: their number within one pause has about its mean as variance. The mean is chosen such
     * that so many deviations more still fit.
     *
     * @param pauseMillis pause that is allowed
     * @param promptMillis time that the reading of one short prompt takes
     */
    public static double shortPrefillShare(double maxGapMillis, double prefillMillis) {
        double promptsPerGap = MAX_GAP_SHARE * maxGapMillis / prefillMillis;
        double sqrtMeanPrompts =
                Math.sqrt(STANDARD_DEVIATIONS * STANDARD_DEVIATIONS / 4 + promptsPerGap) - STANDARD_DEVIATIONS / 2;
        return sqrtMeanPrompts * sqrtMeanPrompts * prefillMillis / maxGapMillis;
    }
}
