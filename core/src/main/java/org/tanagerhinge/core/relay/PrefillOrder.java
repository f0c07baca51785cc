package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * In which order an engine should read the prompts of one rank.
 *
 * <p>Answers the load pattern of a burst of prompts of very different size: engines read them one after the other, and in
 * the order of arrival all of them are late, since each waits for the few large ones before it. What takes little of the
 * engine's time for what it is worth goes first, so that most are on time and those that would be late anyway wait. A
 * prompt's worth grows with its whole size, of which the engine may hold a part already, so a large prompt of which
 * little is to be read goes before a small one that is new.
 */
final class PrefillOrder {
    /** Steps within a rank. More than engines have levels for bring nothing, fewer let large prompts hold up small ones. */
    static final int STEPS = 5;
    /**
     * Reading time of the first step, as a share of the target; each further step takes twice as much. The second to the
     * fourth hold most prompts where their mean takes a sixth of the target.
     */
    private static final double FIRST_STEP = 0.04;
    /** What an output token weighs in a request's size: generating one takes an engine as long as reading about ten. */
    private static final double OUTPUT_WEIGHT = 10;
    /** Worth of a request beside its size, as a part of that of a mean one. */
    private static final double BASE_WORTH = 0.3;
    /** Size beyond which a request is worth no more, in means: one that is so large would go before all others. */
    private static final double MOST_SIZE = 5;
    /** Weight of the newest request in the mean size. */
    private static final double NEWEST = 0.02;

    private final Map<String, Double> meanSizes = new HashMap<>();

    private PrefillOrder() {}

    static PrefillOrder create() {
        return new PrefillOrder();
    }

    /**
     * Returns the step of a request, 0 for those that go first.
     *
     * @param toRead prompt tokens that the engine doesn't hold yet
     * @param tokensPerMilli reading speed of an engine
     */
    int step(Route route, Prompt prompt, int toRead, double tokensPerMilli) {
        if (route.targetMillis() <= 0) {
            return 0;
        }
        double size = prompt.inputTokens() + OUTPUT_WEIGHT * prompt.outputTokens();
        double mean = meanSizes.merge(route.name(), size, (old, now) -> old + NEWEST * (now - old));
        double worth = BASE_WORTH + (1 - BASE_WORTH) * Math.min(MOST_SIZE, size / Math.max(1, mean));
        double share = toRead / tokensPerMilli / route.targetMillis() / worth;
        int step = 0;
        for (double most = FIRST_STEP; step < STEPS - 1 && share >= most; most *= 2) {
            step++;
        }
        return step;
    }
}
