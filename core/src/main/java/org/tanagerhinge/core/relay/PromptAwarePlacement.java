package org.tanagerhinge.core.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Chooses model engines by pending prefill and cached prefixes, in two lanes, and plain servers by requests in
 * flight; this is the default policy.
 */
public final class PromptAwarePlacement implements PlacementPolicy {
    /** A prompt is long if its prefill takes more than this share of the smallest event gap that routes allow. */
    private static final double LONG_PROMPT_GAP_SHARE = 0.4;
    /** Smallest event gap assumed if no route sets one. */
    private static final long DEFAULT_MIN_GAP_MILLIS = 120;

    /**
     * Discount per shared token for the preferred engines of a prompt that no engine has cached. It is above the cost
     * of a token to prefill on an engine of nominal speed ({@link EngineCost}), so that a preferred engine is chosen
     * unless it has much more to prefill than others.
     */
    private static final double AFFINITY_WEIGHT = 10;

    private final Set<Mechanism> disabled;
    private final PrefixCacheTracker prefixCaches = PrefixCacheTracker.create();
    private final PrefillOrder prefillOrder = PrefillOrder.create();
    private final PlainServerChoice plainServers = PlainServerChoice.create();
    private final EngineCost costs = EngineCost.create();
    private final PrefixFetchPlanner fetchPlanner = PrefixFetchPlanner.of(prefixCaches, costs);
    private final EngineLanes lanes;
    private long minEventGapMillis = DEFAULT_MIN_GAP_MILLIS;
    private int rotation;

    private PromptAwarePlacement(Set<Mechanism> disabled) {
        this.disabled = disabled;
        this.lanes = EngineLanes.of(disabled, costs, minEventGapMillis);
    }

    /** Creates the policy without knowledge of any server. */
    public static PromptAwarePlacement create() {
        return without(Set.of());
    }

    /** Creates the policy with some mechanisms disabled, for experiments. */
    public static PromptAwarePlacement without(Set<Mechanism> disabled) {
        return new PromptAwarePlacement(disabled);
    }

    @Override
    public void updateMinEventGap(long minGapMillis) {
        minEventGapMillis = minGapMillis > 0 ? minGapMillis : DEFAULT_MIN_GAP_MILLIS;
        lanes.updateMinEventGap(minEventGapMillis);
    }

    /**
     * Returns whether a prompt of this size is long: its prefill delays the streams on the same engine, also while that
     * is slower than usual.
     */
    private boolean isLongPrompt(PlacementRequest request, List<ServerInstance> engines, long nowMillis) {
        double workTime = lanes.slowness(request.service().name(), nowMillis) * meanUsualWorkTime(engines);
        return request.prompt().inputTokens()
                > LONG_PROMPT_GAP_SHARE * minEventGapMillis * costs.tokensPerMilli() / workTime;
    }

    private static double meanUsualWorkTime(List<ServerInstance> engines) {
        double sum = 0;
        for (ServerInstance engine : engines) {
            sum += engine.workTime().usual();
        }
        return sum / engines.size();
    }

    @Override
    public OptionalDouble measuredPrefillRate() {
        return costs.measuredTokensPerMilli();
    }

    @Override
    public void adoptPrefillRate(double tokensPerMilli) {
        costs.adoptTokensPerMilli(tokensPerMilli);
    }

    @Override
    public void updatePeerDemands(Map<String, LaneDemand> demands) {
        lanes.updatePeerDemands(demands);
    }

    @Override
    public Map<String, LaneDemand> localDemands(long nowMillis) {
        return lanes.localDemands(nowMillis);
    }

    @Override
    public void recordWorkTime(ServerInstance server, double factor, long statedAtMillis) {
        lanes.recordWorkTime(server, factor, statedAtMillis);
    }

    @Override
    public void recordPeerWorkTime(ServerInstance server, PeerReport.StatedWorkTime stated, long nowMillis) {
        lanes.recordPeerWorkTime(server, stated, nowMillis);
    }

    @Override
    public void recordPeerSent(ServerInstance server, ServiceConfig service, List<PromptPart> parts, long nowMillis) {
        prefixCaches.recordSent(server.instanceId(), parts, service.cacheCapacityTokens(), nowMillis);
    }

    @Override
    public int trackedParts() {
        return prefixCaches.entries();
    }

    @Override
    public void forgetInstance(String instanceId) {
        prefixCaches.forget(instanceId);
    }

    @Override
    public Optional<Decision> place(PlacementRequest request, List<ServerInstance> candidates, long nowMillis) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (!request.service().hasModelEngines() || request.prompt().inputTokens() == 0) {
            return Optional.of(plainServers.choose(request, candidates, nowMillis));
        }
        rotation++;
        boolean longPrompt = isLongPrompt(request, candidates, nowMillis);
        List<ServerInstance> lane = lanes.lane(request, longPrompt, candidates, nowMillis);
        Decision best = chooseEngine(request, lane, longPrompt, nowMillis);
        return Optional.of(withStep(request, withFetch(request, best, candidates, nowMillis)));
    }

    /**
     * Chooses among the engines of a lane that have all shared parts of a prompt cached and the preferred engines of
     * these parts.
     *
     * <p>Under load, choosing an engine without the cached parts because it has slightly less to do makes it prefill
     * the shared parts again, which delays all requests there and evicts other parts. Restricting the choice lets few
     * engines prefill a part, and since parts have different preferred engines, the load still spreads. If the prompt
     * can't start in time at any of these engines, it may go to every engine of the lane where it can.
     */
    private Decision chooseEngine(
            PlacementRequest request, List<ServerInstance> lane, boolean longPrompt, long nowMillis) {
        Prompt prompt = request.prompt();
        PrefixAffinity affinity = PrefixAffinity.of(prompt, lane);
        int sharedTokens = prompt.sharedTokens();
        int[] cached = new int[lane.size()];
        boolean cachedByAny = false;
        for (int i = 0; i < cached.length; i++) {
            cached[i] = cachedTokens(lane.get(i), prompt);
            cachedByAny |= cached[i] >= sharedTokens;
        }
        boolean restricted = !disabled.contains(Mechanism.HOLDERS_ONLY)
                && (cachedByAny || !disabled.contains(Mechanism.PREFIX_HOMES));
        Decision best = null;
        double bestCost = 0;
        Decision bestInTime = null;
        double bestInTimeCost = 0;
        double maxWaitMillis = AdmissionControl.maxWaitMillis(request.route());
        for (int i = 0; i < cached.length; i++) {
            int index = Math.floorMod(i + rotation, cached.length);
            ServerInstance server = lane.get(index);
            int position = disabled.contains(Mechanism.PREFIX_HOMES) ? -1 : affinity.position(server);
            int tokensToPrefill = Math.max(1, prompt.inputTokens() - cached[index]);
            double cost = costs.cost(request, server, tokensToPrefill, nowMillis)
                    - (cachedByAny ? 0 : affinityDiscount(position, sharedTokens));
            double waitMillis = costs.expectedWaitMillis(server, tokensToPrefill);
            boolean allowed = !restricted || cached[index] >= sharedTokens || position >= 0;
            if (allowed && (best == null || cost < bestCost)) {
                best = decision(server, tokensToPrefill, longPrompt, waitMillis);
                bestCost = cost;
            }
            if (waitMillis <= maxWaitMillis && (bestInTime == null || cost < bestInTimeCost)) {
                bestInTime = decision(server, tokensToPrefill, longPrompt, waitMillis);
                bestInTimeCost = cost;
            }
        }
        return best.expectedWaitMillis() > maxWaitMillis && bestInTime != null ? bestInTime : best;
    }

    private Decision decision(ServerInstance server, int tokensToPrefill, boolean longPrompt, double waitMillis) {
        double prefillMillis = Math.min(waitMillis, tokensToPrefill / costs.tokensPerMilli(server));
        return new Decision(server, tokensToPrefill, 0, longPrompt, waitMillis, prefillMillis, Optional.empty());
    }

    private Decision withFetch(
            PlacementRequest request, Decision decision, List<ServerInstance> candidates, long nowMillis) {
        return disabled.contains(Mechanism.FETCH)
                ? decision
                : fetchPlanner.plan(
                        request, decision, cachedTokens(decision.server(), request.prompt()), candidates, nowMillis);
    }

    private int cachedTokens(ServerInstance server, Prompt prompt) {
        return disabled.contains(Mechanism.PREFIX_MEMORY) ? 0 : prefixCaches.cachedTokens(server.instanceId(), prompt);
    }

    /** Returns the cost discount, in tokens, of a preferred engine of the prompt's shared parts. */
    private static double affinityDiscount(int position, int sharedTokens) {
        return position < 0 ? 0 : AFFINITY_WEIGHT * sharedTokens / (position + 1);
    }

    private Decision withStep(PlacementRequest request, Decision decision) {
        if (disabled.contains(Mechanism.READING_ORDER)) {
            return decision;
        }
        int step = prefillOrder.step(
                request.route(), request.prompt(), decision.tokensToPrefill(), costs.tokensPerMilli(decision.server()));
        return decision.withStep(step);
    }

    @Override
    public void recordSent(PlacementRequest request, Decision decision, long nowMillis) {
        if (!request.service().hasModelEngines()) {
            return;
        }
        prefixCaches.recordSent(
                decision.server().instanceId(),
                request.prompt().sharedParts(),
                request.service().cacheCapacityTokens(),
                nowMillis);
        DemandEstimator estimator = lanes.demand(request.service().name(), nowMillis);
        estimator.recordPrompt(decision.longPrompt(), decision.tokensToPrefill(), nowMillis);
        estimator.recordRank(decision.longPrompt(), request.route().priority(), nowMillis);
        if (decision.longPrompt()) {
            costs.recordLongPrompt(decision.tokensToPrefill());
        }
    }

    @Override
    public void recordPrefill(PlacementRequest request, Decision decision, long firstOutputMillis) {
        // Shared parts may be cached without this node's knowledge, above all after a restart. If they counted as
        // prefilled, the prefill rate would be overestimated and large prompts would count as short ones.
        costs.recordPrefill(
                decision.server(),
                request.prompt().inputTokens() - request.prompt().sharedTokens(),
                firstOutputMillis);
    }

    @Override
    public void recordEnd(PlacementRequest request, Decision decision, long nowMillis) {
        if (request.service().hasModelEngines() && !decision.longPrompt()) {
            lanes.demand(request.service().name(), nowMillis).recordShortEnd();
        }
    }
}
