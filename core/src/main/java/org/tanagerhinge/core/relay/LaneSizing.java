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
    private static final double SLOTS_FILLED = 0.8;
    /** Part of the allowed pause that the reading of other prompts may fill; the rest are the steps themselves. */
    private static final double PAUSE_FILLED = 0.85;
    /** How many standard deviations above the mean the prompts that arrive within one pause must still fit into it. */
    private static final double DEVIATIONS = 1.5;
    /** Share of an engine's time that the reading of long prompts may take: more makes them wait for each other. */
    private static final double LONG_READING = 0.6;
    /** Share of the engines that the short lane may take in a shortage if its requests are the more urgent ones. */
    private static final double MOST_URGENT = 0.7;

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
    public static int shortEngines(
            int engines, int slots, LaneDemand demand, double tokensPerMilli, double shortReading, boolean shortFirst) {
        if (engines <= 1 || demand.longTokens() <= 0) {
            return engines;
        }
        double perSecond = tokensPerMilli * 1000;
        double needShort = Math.max(
                demand.shortRunning() / (SLOTS_FILLED * Math.max(1, slots)),
                demand.shortTokens() / (shortReading * perSecond));
        double needLong = demand.longTokens() / (LONG_READING * perSecond);
        double share = needShort;
        if (needShort + needLong > engines) {
            share = shortFirst
                    ? Math.min(needShort, MOST_URGENT * engines)
                    : engines * needShort / (needShort + needLong);
        }
        return (int) Math.min(engines - 1, Math.max(1, Math.ceil(share)));
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
    public static double shortReading(double pauseMillis, double promptMillis) {
        double fit = PAUSE_FILLED * pauseMillis / promptMillis;
        double root = Math.sqrt(DEVIATIONS * DEVIATIONS / 4 + fit) - DEVIATIONS / 2;
        return root * root * promptMillis / pauseMillis;
    }
}
