package org.tanagerhinge.bench.fleet;

/**
 * What a model engine is like.
 *
 * @param slots requests that it runs at once
 * @param maxQueuedRequests requests that may wait there
 * @param cacheCapacityTokens tokens that it keeps, those of running requests included
 * @param prefillTokensPerMilli prompt tokens that it reads in a millisecond
 * @param maxPrefillTokensPerStep prompt tokens that it reads in one step at the most
 * @param baseStepMillis time of a step of one request that reads nothing
 * @param stepMillisPerRequest what each running request adds to a step
 * @param millisPerThousandContextTokens what a thousand tokens that running requests have in memory add to a step
 * @param millisPerMillionTokenPairs what a million pairs of a token that is read and one before it in its prompt add to a step
 * @param fetchMicrosPerToken time to fetch what another engine keeps of one token, in microseconds
 * @param fetchSetupMillis time until a fetch begins
 * @param tokensPerEvent tokens in one event of a stream
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
