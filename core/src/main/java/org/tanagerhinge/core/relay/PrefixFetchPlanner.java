package org.tanagerhinge.core.relay;

import java.util.List;
import java.util.Optional;

/**
 * Decides whether an engine should fetch a cached prefix from another one instead of prefilling it.
 *
 * <p>A fetch never changes the chosen engine: a cheap fetch must not move a prompt away from the engines that have its
 * parts cached, since every copy evicts other parts.
 */
final class PrefixFetchPlanner {
    /** Smallest prefix worth fetching, in tokens: a fetch takes some milliseconds to start, whatever its size. */
    private static final int MIN_FETCH_TOKENS = 1_000;
    /** Largest share of the prefill time that a fetch may take. */
    private static final double MAX_FETCH_TIME_SHARE = 0.5;

    private final PrefixCacheTracker prefixCaches;
    private final EngineCost costs;

    private PrefixFetchPlanner(PrefixCacheTracker prefixCaches, EngineCost costs) {
        this.prefixCaches = prefixCaches;
        this.costs = costs;
    }

    static PrefixFetchPlanner of(PrefixCacheTracker prefixCaches, EngineCost costs) {
        return new PrefixFetchPlanner(prefixCaches, costs);
    }

    /** Returns a decision with the prefix to fetch, or the same decision if no fetch pays. */
    PlacementPolicy.Decision plan(
            PlacementRequest request,
            PlacementPolicy.Decision decision,
            int cachedTokens,
            List<ServerInstance> candidates,
            long nowMillis) {
        if (request.prompt().sharedTokens() - cachedTokens < MIN_FETCH_TOKENS) {
            return decision;
        }
        Optional<PlacementPolicy.PrefixFetch> found = source(request, decision, cachedTokens, candidates, nowMillis);
        if (found.isEmpty()) {
            return decision;
        }
        int tokens = found.get().tokens();
        double timeShare = request.service().fetchMillis(tokens) * costs.tokensPerMilli(decision.server()) / tokens;
        if (timeShare > MAX_FETCH_TIME_SHARE) {
            return decision;
        }
        int tokensToPrefill = Math.max(1, decision.tokensToPrefill() - (int) ((1 - timeShare) * tokens));
        return decision.withFetch(found.get(), tokensToPrefill);
    }

    /**
     * Returns the largest prefix that another engine of the same software version has and the chosen one lacks, if it is
     * worth a fetch.
     */
    private Optional<PlacementPolicy.PrefixFetch> source(
            PlacementRequest request,
            PlacementPolicy.Decision decision,
            int cachedTokens,
            List<ServerInstance> candidates,
            long nowMillis) {
        int maxFetchableTokens = cachedTokens + MIN_FETCH_TOKENS - 1;
        ServerInstance source = null;
        for (ServerInstance server : candidates) {
            int fetchableTokens = prefixCaches.fetchableTokens(server.instanceId(), request.prompt(), nowMillis);
            if (server != decision.server()
                    && server.softwareVersion().equals(decision.server().softwareVersion())
                    && fetchableTokens > maxFetchableTokens) {
                source = server;
                maxFetchableTokens = fetchableTokens;
            }
        }
        return source == null
                ? Optional.empty()
                : Optional.of(new PlacementPolicy.PrefixFetch(source, maxFetchableTokens - cachedTokens));
    }
}
