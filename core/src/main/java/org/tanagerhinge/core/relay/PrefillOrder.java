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
    private static final double FIRST_STEP_MAX_SHARE = 0.04;
    /** What an output token weighs in a request's size: generating one takes an engine as long as reading about ten. */
    private static final double OUTPUT_TOKEN_WEIGHT = 10;
    /** Worth of a request beside its size, as a part of that of a mean one. */
    private static final double BASE_VALUE = 0.3;
    /** Size beyond which a request is worth no more, in means: one that is so large would go before all others. */
    private static final double MAX_RELATIVE_SIZE = 5;
    /** Weight of the newest request in the mean size. */
    private static final double SMOOTHING = 0.02;

    private final Map<String, Double> meanSizeByRoute = new HashMap<>();

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
    int step(Route route, Prompt prompt, int tokensToPrefill, double tokensPerMilli) {
        if (route.targetMillis() <= 0) {
            return 0;
        }
        double size = prompt.inputTokens() + OUTPUT_TOKEN_WEIGHT * prompt.maxOutputTokens();
        double meanSize = meanSizeByRoute.merge(
                route.name(), size, (previous, newest) -> previous + SMOOTHING * (newest - previous));
        double value = BASE_VALUE + (1 - BASE_VALUE) * Math.min(MAX_RELATIVE_SIZE, size / Math.max(1, meanSize));
        double targetShare = tokensToPrefill / tokensPerMilli / route.targetMillis() / value;
        int step = 0;
        for (double maxShare = FIRST_STEP_MAX_SHARE; step < STEPS - 1 && targetShare >= maxShare; maxShare *= 2) {
            step++;
        }
        return step;
    }
}
