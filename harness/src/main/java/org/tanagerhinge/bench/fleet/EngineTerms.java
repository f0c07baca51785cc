package org.tanagerhinge.bench.fleet;

/**
 * What a model engine is like.
 *
 * @param slots requests that it runs at once
 * @param queue requests that may wait there
 * @param memoryTokens tokens that it keeps, those of running requests included
 * @param tokensPerMilli prompt tokens that it reads in a millisecond
 * @param chunk prompt tokens that it reads in one step at the most
 * @param stepMillis time of a step of one request that reads nothing
 * @param slotMillis what each running request adds to a step
 * @param contextMillis what a thousand tokens that running requests have in memory add to a step
 * @param pairMillis what a million pairs of a token that is read and one before it in its prompt add to a step
 * @param fetchMicros time to fetch what another engine keeps of one token, in microseconds
 * @param fetchSetupMillis time until a fetch begins
 * @param stride tokens in one event of a stream
 */
public record EngineTerms(
        int slots,
        int queue,
        long memoryTokens,
        double tokensPerMilli,
        int chunk,
        double stepMillis,
        double slotMillis,
        double contextMillis,
        double pairMillis,
        double fetchMicros,
        double fetchSetupMillis,
        int stride) {}
