package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses model engines by pending prefill and cached prefixes, in two lanes, and plain servers by requests in
 * flight; this is the default policy.
 */
public final class PromptAwarePlacement implements PlacementPolicy {
    /** Prefill rate assumed until one is measured, in tokens per millisecond. */
    private static final double INITIAL_TOKENS_PER_MILLI = 50;
    /** A prompt is long if its prefill takes more than this share of the smallest event gap that routes allow. */
    private static final double LONG_PROMPT_GAP_SHARE = 0.4;
    /** Smallest event gap assumed if no route sets one. */
    private static final long DEFAULT_MIN_GAP_MILLIS = 120;
    /** Cost of a request in flight, in prompt tokens: about one decoding step of an engine. */
    private static final int IN_FLIGHT_COST_TOKENS = 150;
    /**
     * Cost of a prompt token to prefill, relative to one already queued at the engine: it delays all requests that
     * wait there, whereas a request with little to prefill overtakes most of the queue.
     */
    private static final double PREFILL_WEIGHT = 8;
    /** Cost of a server in another failure domain, in prompt tokens. */
    private static final int OTHER_DOMAIN_COST_TOKENS = 40;

    /**
     * Discount per shared token for the preferred engines of a prompt that no engine has cached. It is above {@link
     * #PREFILL_WEIGHT}, so that a preferred engine is chosen unless it has much more to prefill than others.
     */
    private static final double AFFINITY_WEIGHT = 10;

    /** Smallest prefix worth fetching, in tokens: a fetch takes some milliseconds to start, whatever its size. */
    private static final int MIN_FETCH_TOKENS = 1_000;
    /** Largest share of the prefill time that a fetch may take. */
    private static final double MAX_FETCH_TIME_SHARE = 0.5;
    /** Mean tokens to prefill of a long prompt, assumed before the first one. */
    private static final double INITIAL_MEAN_LONG_PREFILL_TOKENS = 3_000;
    /** Weight of the newest long prompt in that mean. */
    private static final double SMOOTHING = 0.02;

    private final Set<Mechanism> disabled;
    private final PrefixCacheTracker prefixCaches = PrefixCacheTracker.create();
    private final Map<String, DemandEstimator> demandByService = new HashMap<>();
    private Map<String, LaneDemand> peerDemands = Map.of();
    private final PrefillOrder prefillOrder = PrefillOrder.create();
    private final PrefillRateEstimator prefillRate = PrefillRateEstimator.create(INITIAL_TOKENS_PER_MILLI);
    private long minEventGapMillis = DEFAULT_MIN_GAP_MILLIS;
    private double meanLongPrefillTokens = INITIAL_MEAN_LONG_PREFILL_TOKENS;
    private int rotation;

    private PromptAwarePlacement(Set<Mechanism> disabled) {
        this.disabled = disabled;
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
    }

    /** Returns whether a prompt of this size is long: its prefill delays the streams on the same engine. */
    private boolean isLongPrompt(int tokens) {
        return tokens > LONG_PROMPT_GAP_SHARE * minEventGapMillis * prefillRate.tokensPerMilli();
    }

    private DemandEstimator demandEstimator(String service, long nowMillis) {
        return demandByService.computeIfAbsent(service, name -> DemandEstimator.create(nowMillis));
    }

    @Override
    public void updatePeerDemands(Map<String, LaneDemand> demands) {
        peerDemands = Map.copyOf(demands);
    }

    @Override
    public Map<String, LaneDemand> localDemands(long nowMillis) {
        Map<String, LaneDemand> demands = new HashMap<>();
        demandByService.forEach((service, estimator) -> demands.put(service, estimator.demand(nowMillis)));
        return demands;
    }

    @Override
    public void recordPeerSent(ServerInstance server, ServiceConfig service, List<PromptPart> parts, long nowMillis) {
        prefixCaches.recordSent(server.instanceId(), parts, service.cacheCapacityTokens(), nowMillis);
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
        rotation++;
        if (!request.service().hasModelEngines() || request.prompt().inputTokens() == 0) {
            return Optional.of(leastLoaded(request, candidates));
        }
        boolean longPrompt = isLongPrompt(request.prompt().inputTokens());
        List<ServerInstance> lane = lane(request, longPrompt, candidates, nowMillis);
        Decision best = chooseEngine(request, lane, longPrompt);
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
    private Decision chooseEngine(PlacementRequest request, List<ServerInstance> lane, boolean longPrompt) {
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
            double cost = cost(request, server, tokensToPrefill)
                    - (cachedByAny ? 0 : affinityDiscount(position, sharedTokens));
            double waitMillis = expectedWaitMillis(server, tokensToPrefill);
            boolean allowed = !restricted || cached[index] >= sharedTokens || position >= 0;
            if (allowed && (best == null || cost < bestCost)) {
                best = new Decision(server, tokensToPrefill, 0, longPrompt, waitMillis, Optional.empty());
                bestCost = cost;
            }
            if (waitMillis <= maxWaitMillis && (bestInTime == null || cost < bestInTimeCost)) {
                bestInTime = new Decision(server, tokensToPrefill, 0, longPrompt, waitMillis, Optional.empty());
                bestInTimeCost = cost;
            }
        }
        return best.expectedWaitMillis() > maxWaitMillis && bestInTime != null ? bestInTime : best;
    }

    /**
     * Returns the time in milliseconds until an engine has prefilled a prompt. Engines prefill small prompts first,
     * so a prompt waits for the share of the pending tokens that is in smaller prompts: half of them at mean size.
     * Returns 0 until the prefill rate is measured, since a node that has just started would otherwise reject callers
     * on an assumed rate.
     */
    private double expectedWaitMillis(ServerInstance server, int tokensToPrefill) {
        if (!prefillRate.isMeasured()) {
            return 0;
        }
        double tokensAhead =
                server.totalPendingPrefillTokens() * (tokensToPrefill / (tokensToPrefill + meanLongPrefillTokens));
        return (tokensAhead + tokensToPrefill) / prefillRate.tokensPerMilli();
    }

    /**
     * Adds a prefix to fetch to a decision. It never changes the chosen engine: a cheap fetch must not move a prompt
     * away from the engines that have its parts cached, since every copy evicts other parts.
     */
    private Decision withFetch(
            PlacementRequest request, Decision decision, List<ServerInstance> candidates, long nowMillis) {
        if (disabled.contains(Mechanism.FETCH)) {
            return decision;
        }
        int cachedTokens = cachedTokens(decision.server(), request.prompt());
        if (request.prompt().sharedTokens() - cachedTokens < MIN_FETCH_TOKENS) {
            return decision;
        }
        int maxFetchableTokens = cachedTokens + MIN_FETCH_TOKENS - 1;
        ServerInstance source = null;
        for (ServerInstance server : candidates) {
            int fetchableTokens = prefixCaches.fetchableTokens(server.instanceId(), request.prompt(), nowMillis);
            if (server != decision.server() && fetchableTokens > maxFetchableTokens) {
                source = server;
                maxFetchableTokens = fetchableTokens;
            }
        }
        if (source == null) {
            return decision;
        }
        int tokens = maxFetchableTokens - cachedTokens;
        double timeShare = request.service().fetchMillis(tokens) * prefillRate.tokensPerMilli() / tokens;
        if (timeShare > MAX_FETCH_TIME_SHARE) {
            return decision;
        }
        int tokensToPrefill = Math.max(1, decision.tokensToPrefill() - (int) ((1 - timeShare) * tokens));
        return decision.withFetch(new PrefixFetch(source, tokens), tokensToPrefill);
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
                request.route(), request.prompt(), decision.tokensToPrefill(), prefillRate.tokensPerMilli());
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
        DemandEstimator estimator = demandEstimator(request.service().name(), nowMillis);
        estimator.recordPrompt(decision.longPrompt(), decision.tokensToPrefill(), nowMillis);
        estimator.recordRank(decision.longPrompt(), request.route().priority(), nowMillis);
        if (decision.longPrompt()) {
            meanLongPrefillTokens += SMOOTHING * (decision.tokensToPrefill() - meanLongPrefillTokens);
        }
    }

    @Override
    public void recordPrefill(PlacementRequest request, Decision decision, long firstOutputMillis) {
        // Shared parts may be cached without this node's knowledge, above all after a restart. If they counted as
        // prefilled, the prefill rate would be overestimated and large prompts would count as short ones.
        prefillRate.recordPrefill(
                request.prompt().inputTokens() - request.prompt().sharedTokens(), firstOutputMillis);
    }

    @Override
    public void recordEnd(PlacementRequest request, Decision decision, long nowMillis) {
        if (request.service().hasModelEngines() && !decision.longPrompt()) {
            demandEstimator(request.service().name(), nowMillis).recordShortEnd();
        }
    }

    private double cost(PlacementRequest request, ServerInstance server, int tokensToPrefill) {
        double cost = server.totalPendingPrefillTokens()
                + PREFILL_WEIGHT * tokensToPrefill
                + IN_FLIGHT_COST_TOKENS * server.totalInFlight();
        if (server.totalInFlight() >= server.slots()) {
            cost += (double) IN_FLIGHT_COST_TOKENS * 10 * (server.totalInFlight() - server.slots() + 1);
        }
        return server.domain().equals(request.domain()) ? cost : cost + OTHER_DOMAIN_COST_TOKENS;
    }

    /**
     * Returns the engines of a request's lane. Candidates are ordered by id, so all nodes agree on the lanes without
     * communication.
     */
    private List<ServerInstance> lane(
            PlacementRequest request, boolean longPrompt, List<ServerInstance> candidates, long nowMillis) {
        if (disabled.contains(Mechanism.LANES)) {
            return candidates;
        }
        String service = request.service().name();
        LaneDemand demand = demandEstimator(service, nowMillis)
                .demand(nowMillis)
                .plus(peerDemands.getOrDefault(service, LaneDemand.NONE));
        double shortPrefillMillis =
                Math.max(1, demandEstimator(service, nowMillis).meanShortPromptTokens() / prefillRate.tokensPerMilli());
        int shortLaneSize = LaneSizing.shortLaneSize(
                candidates.size(),
                request.service().slots(),
                demand,
                prefillRate.tokensPerMilli(),
                LaneSizing.shortPrefillShare(minEventGapMillis, shortPrefillMillis),
                !disabled.contains(Mechanism.URGENT_LANE)
                        && demandEstimator(service, nowMillis).isShortMoreUrgent());
        if (shortLaneSize >= candidates.size()) {
            return candidates;
        }
        List<ServerInstance> ownLane = longPrompt
                ? candidates.subList(shortLaneSize, candidates.size())
                : candidates.subList(0, shortLaneSize);
        boolean mayOverflow = !longPrompt
                || request.route().priority()
                        <= demandEstimator(service, nowMillis).mostUrgentShortRank(nowMillis);
        if (!mayOverflow
                || disabled.contains(Mechanism.LANE_OVERFLOW)
                || !withFreeSlot(ownLane).isEmpty()) {
            return ownLane;
        }
        List<ServerInstance> free = withFreeSlot(candidates);
        return free.isEmpty() ? candidates : free;
    }

    /**
     * Returns the engines of a lane with a free slot. When a lane has none, its requests may use the other lane:
     * without a slot a request gets no output until another one ends, whereas next to long prompts its stream only
     * exceeds its event gap. Long prompts that are less urgent than the short ones stay in their lane; a long burst
     * of them would otherwise fill the short lane as well and delay its streams.
     */
    private static List<ServerInstance> withFreeSlot(List<ServerInstance> lane) {
        List<ServerInstance> free = new ArrayList<>();
        for (ServerInstance server : lane) {
            if (server.totalInFlight() < server.slots()) {
                free.add(server);
            }
        }
        return free;
    }

    private Decision leastLoaded(PlacementRequest request, List<ServerInstance> candidates) {
        ServerInstance best = null;
        double bestCost = 0;
        for (int i = 0; i < candidates.size(); i++) {
            ServerInstance server = candidates.get(Math.floorMod(i + rotation, candidates.size()));
            double cost = server.totalInFlight() / (double) Math.max(1, server.slots())
                    + (server.domain().equals(request.domain()) ? 0 : 0.01);
            if (best == null || cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return Decision.unordered(best, 0);
    }
}
