package org.tanagerhinge.bench.fleet;

/**
 * Describes the size and the speed of a simulated model engine.
 *
 * @param slots maximum number of running requests
 * @param maxQueuedRequests maximum number of waiting requests
 * @param cacheCapacityTokens cache size in tokens, including those of running requests
 * @param prefillTokensPerMilli prefill rate in tokens per millisecond
 * @param maxPrefillTokensPerStep maximum prefill tokens in one step
 * @param baseStepMillis time of a step without prefill
 * @param stepMillisPerRequest time that each running request adds to a step
 * @param millisPerThousandContextTokens time that a thousand context tokens of running requests add to a step
 * @param millisPerMillionTokenPairs time that a million pairs of a prefilled token and an earlier token of its
 *     prompt add to a step
 * @param fetchMicrosPerToken time to fetch the cache of one token from another engine
 * @param fetchSetupMillis time until a fetch starts
 * @param tokensPerEvent tokens per stream event
 */
public record EngineParameters(
        int slots,
        int maxQueuedRequests,
        long cacheCapacityTokens,
        double prefillTokensPerMilli,
        int maxPrefillTokensPerStep,
        double baseStepMillis,
        double stepMillisPerRequest,
        double millisPerThousandContextTokens,
        double millisPerMillionTokenPairs,
        double fetchMicrosPerToken,
        double fetchSetupMillis,
        int tokensPerEvent) {}
