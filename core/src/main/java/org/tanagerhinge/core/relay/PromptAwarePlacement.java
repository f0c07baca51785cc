package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The product's policy: engines by what they still have to read and what they hold already, in two lanes; plain servers
 * by requests in progress.
 */
public final class PromptAwarePlacement implements PlacementPolicy {
    /** Reading speed taken until one was measured, in tokens a millisecond. */
    private static final double INITIAL_TOKENS_PER_MILLI = 50;
    /** A prompt is long if reading it takes more than this share of the tightest pause that routes allow. */
    private static final double LONG_PROMPT_GAP_SHARE = 0.4;
    /** Tightest pause taken if no route states one, in milliseconds. */
    private static final long DEFAULT_MIN_GAP_MILLIS = 120;
    /** What a request in progress weighs, in prompt tokens: about one step of an engine. */
    private static final int IN_FLIGHT_COST_TOKENS = 150;
    /**
     * What a prompt token to be read weighs against one that waits at the engine: it takes the engine's time from all who
     * wait, and since those with little to read go first, they hardly wait for the others.
     */
    private static final double PREFILL_WEIGHT = 8;
    /** A server of another failure domain has to be better by this many tokens or requests' worth. */
    private static final int OTHER_DOMAIN_COST_TOKENS = 40;

    /**
     * What a shared token of a prompt weighs for the engines to which it belongs while none is known to hold it: a little more
     * than reading it, so that the home is chosen unless others have a third of a second less to read.
     */
    private static final double AFFINITY_WEIGHT = 10;

    /** Fewer tokens than this aren't worth a fetch: it takes some milliseconds to begin, whatever its size. */
    private static final int MIN_FETCH_TOKENS = 1_000;
    /** A fetch pays if it takes at most this share of the time that reading would take. */
    private static final double MAX_FETCH_TIME_SHARE = 0.5;
    /** Mean size of what is to be read of a long prompt taken until some came, in tokens. */
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

    /** Returns the policy, which knows nothing of any server yet. */
    public static PromptAwarePlacement create() {
        return without(Set.of());
    }

    /** Returns the policy with some mechanisms switched off, for experiments. */
    public static PromptAwarePlacement without(Set<Mechanism> disabled) {
        return new PromptAwarePlacement(disabled);
    }

    @Override
    public void updateMinEventGap(long minGapMillis) {
        minEventGapMillis = minGapMillis > 0 ? minGapMillis : DEFAULT_MIN_GAP_MILLIS;
    }

    /** Returns whether so many tokens are a long prompt: reading them makes the streams beside it pause. */
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
    public void recordPeerPrefill(
            ServerInstance server, ServiceConfig service, List<PromptPart> parts, long nowMillis) {
        prefixCaches.recordPrefill(server.instanceId(), parts, service.cacheCapacityTokens(), nowMillis);
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
     * Chooses among the engines of a lane that should hold all shared parts of a prompt and the homes of these parts.
     *
     * <p>Answers the load pattern of many nodes under load: each that sends a prompt to another engine, since that one has a
     * little less to do, makes it read the shared parts again, whatever it reads is a delay for all that wait there, and each
     * copy pushes other parts out of memory. With few engines to choose from a part is read by few of them; that different
     * parts have different homes spreads the load without nodes choosing the same engine on the same old reports. Only where a
     * prompt can't be in time at any of these it may go to all engines of the lane at which it can be.
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
     * Returns the time until an engine has read a prompt. Engines read what takes little time first, so a prompt waits for
     * the part of what is to be read there that is in smaller pieces: half of it for one of the usual size. 0 until engines'
     * speed was measured: a node that has just started would turn callers away for a guess.
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
     * Adds to a choice what the engine should fetch. It changes no choice: that a fetch costs little must not make a prompt
     * leave the engines that hold its parts, since every copy takes memory from other parts.
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

    /** Returns the tokens by which an engine costs less than others, since shared parts of a prompt belong there. */
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
        prefixCaches.recordPrefill(
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
        // Shared parts may be held though nobody here knows of it, after a restart above all. Were they counted as
        // read, an
        // engine would seem many times as fast as it is, and large prompts would count as short ones.
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
     * Returns the engines of a request's lane. Candidates are in the order of their ids, so that all nodes agree on the
     * lanes without asking each other.
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
     * Returns the engines of a lane that have a free place. Where a lane has none, its requests go to those of the other one:
     * what waits for a place has no first output until another request ends, while beside long prompts it only pauses too
     * long, however much there is to read. Long prompts that are less urgent than the short ones stay, though: in a long
     * burst they fill the long lane and would then fill the short one, whose streams pause for each of them.
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
