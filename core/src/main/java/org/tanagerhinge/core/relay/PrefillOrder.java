package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes in which order an engine should prefill the prompts of one rank.
 *
 * <p>In order of arrival, a burst of prompts of very different sizes is late as a whole, since each waits for the few
 * large ones before it. Requests with little prefill time relative to their value go first instead, so that most are
 * on time and only those that would be late anyway wait. The value grows with the request's whole size, cached parts
 * included, so a large prompt that is mostly cached goes before a small one that is not.
 */
final class PrefillOrder {
    /**
     * Steps within a rank. Steps beyond an engine's priority levels have no effect; with fewer steps, large prompts
     * delay small ones.
     */
    static final int STEPS = 5;
    /**
     * Upper bound of the first step, as a share of the route's target; the bound doubles with each further step. The
     * second to fourth steps hold most prompts if their mean prefill takes a sixth of the target.
     */
    private static final double FIRST_STEP_MAX_SHARE = 0.04;
    /**
     * Weight of an output token in a request's size: generating one costs an engine about as much as prefilling ten.
     */
    static final double OUTPUT_TOKEN_WEIGHT = 10;
    /** Part of a request's value that doesn't depend on its size, relative to the value of a request of mean size. */
    private static final double BASE_VALUE = 0.3;
    /**
     * Size, relative to the mean, beyond which the value no longer grows, so that huge requests don't go before all
     * others.
     */
    private static final double MAX_RELATIVE_SIZE = 5;
    /** Weight of the newest request in the mean size. */
    private static final double SMOOTHING = 0.02;

    private final Map<String, Double> meanSizeByRoute = new HashMap<>();

    private PrefillOrder() {}

    static PrefillOrder create() {
        return new PrefillOrder();
    }

    /**
     * Returns the step of a request; those with step 0 go first.
     *
     * @param tokensToPrefill prompt tokens that the engine doesn't have cached
     * @param tokensPerMilli prefill rate of an engine
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
