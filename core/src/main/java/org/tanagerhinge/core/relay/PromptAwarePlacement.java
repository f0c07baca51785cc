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
    private static final double FIRST_SPEED = 50;
    /** A prompt is long if reading it takes more than this share of the tightest pause that routes allow. */
    private static final double LONG_SHARE = 0.4;
    /** Tightest pause taken if no route states one, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 120;
    /** What a request in progress weighs, in prompt tokens: about one step of an engine. */
    private static final int RUNNING_TOKENS = 150;
    /**
     * What a prompt token to be read weighs against one that waits at the engine: it takes the engine's time from all who
     * wait, and since those with little to read go first, they hardly wait for the others.
     */
    private static final double READING_WEIGHT = 8;
    /** A server of another failure domain has to be better by this many tokens or requests' worth. */
    private static final int OTHER_DOMAIN_TOKENS = 40;

    /**
     * What a shared token of a prompt weighs for the engines to which it belongs while none is known to hold it: a little more
     * than reading it, so that the home is chosen unless others have a third of a second less to read.
     */
    private static final double HOME_WEIGHT = 10;

    /** Fewer tokens than this aren't worth a fetch: it takes some milliseconds to begin, whatever its size. */
    private static final int LEAST_FETCH = 1_000;
    /** A fetch pays if it takes at most this share of the time that reading would take. */
    private static final double FETCH_GAIN = 0.5;
    /** Mean size of what is to be read of a long prompt taken until some came, in tokens. */
    private static final double FIRST_READING = 3_000;
    /** Weight of the newest long prompt in that mean. */
    private static final double NEWEST = 0.02;

    private final Set<Mechanism> off;
    private final PrefixCacheTracker memory = PrefixCacheTracker.create();
    private final Map<String, DemandEstimator> meters = new HashMap<>();
    private Map<String, LaneDemand> peers = Map.of();
    private final PrefillOrder order = PrefillOrder.create();
    private final PrefillRateEstimator speed = PrefillRateEstimator.create(FIRST_SPEED);
    private long tightestPause = FIRST_PAUSE_MILLIS;
    private double meanReading = FIRST_READING;
    private int turn;

    private PromptAwarePlacement(Set<Mechanism> off) {
        this.off = off;
    }

    /** Returns the policy, which knows nothing of any server yet. */
    public static PromptAwarePlacement create() {
        return without(Set.of());
    }

    /** Returns the policy with some mechanisms switched off, for experiments. */
    public static PromptAwarePlacement without(Set<Mechanism> off) {
        return new PromptAwarePlacement(off);
    }

    @Override
    public void tightestPause(long millis) {
        tightestPause = millis > 0 ? millis : FIRST_PAUSE_MILLIS;
    }

    /** Returns whether so many tokens are a long prompt: reading them makes the streams beside it pause. */
    private boolean isLong(int tokens) {
        return tokens > LONG_SHARE * tightestPause * speed.tokensPerMilli();
    }

    private DemandEstimator meter(String service, long now) {
        return meters.computeIfAbsent(service, name -> DemandEstimator.create(now));
    }

    @Override
    public void peers(Map<String, LaneDemand> demands) {
        peers = Map.copyOf(demands);
    }

    @Override
    public Map<String, LaneDemand> demands(long now) {
        Map<String, LaneDemand> demands = new HashMap<>();
        meters.forEach((service, meter) -> demands.put(service, meter.demand(now)));
        return demands;
    }

    @Override
    public void kept(ServerInstance server, ServiceConfig service, List<PromptPart> parts, long now) {
        memory.keep(server.life(), parts, service.memoryTokens(), now);
    }

    @Override
    public void forget(String life) {
        memory.forget(life);
    }

    @Override
    public Optional<Decision> place(PlacementRequest request, List<ServerInstance> candidates, long now) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        turn++;
        if (!request.service().engines() || request.prompt().inputTokens() == 0) {
            return Optional.of(leastBusy(request, candidates));
        }
        boolean longPrompt = isLong(request.prompt().inputTokens());
        List<ServerInstance> lane = lane(request, longPrompt, candidates, now);
        Decision best = best(request, lane, longPrompt);
        return Optional.of(inOrder(request, withFetch(request, best, candidates, now)));
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
    private Decision best(PlacementRequest request, List<ServerInstance> lane, boolean longPrompt) {
        Prompt prompt = request.prompt();
        PrefixAffinity homes = PrefixAffinity.of(prompt, lane);
        int shared = prompt.sharedTokens();
        int[] held = new int[lane.size()];
        boolean heldByAny = false;
        for (int i = 0; i < held.length; i++) {
            held[i] = held(lane.get(i), prompt);
            heldByAny |= held[i] >= shared;
        }
        boolean restricted =
                !off.contains(Mechanism.HOLDERS_ONLY) && (heldByAny || !off.contains(Mechanism.PREFIX_HOMES));
        Decision best = null;
        double bestCost = 0;
        Decision inTime = null;
        double inTimeCost = 0;
        double mostWait = AdmissionControl.inTimeMillis(request.route());
        for (int i = 0; i < held.length; i++) {
            int at = Math.floorMod(i + turn, held.length);
            ServerInstance server = lane.get(at);
            int home = off.contains(Mechanism.PREFIX_HOMES) ? -1 : homes.rank(server);
            int toRead = Math.max(1, prompt.inputTokens() - held[at]);
            double cost = cost(request, server, toRead) - (heldByAny ? 0 : preference(home, shared));
            double wait = waitMillis(server, toRead);
            boolean allowed = !restricted || held[at] >= shared || home >= 0;
            if (allowed && (best == null || cost < bestCost)) {
                best = new Decision(server, toRead, 0, longPrompt, wait, Optional.empty());
                bestCost = cost;
            }
            if (wait <= mostWait && (inTime == null || cost < inTimeCost)) {
                inTime = new Decision(server, toRead, 0, longPrompt, wait, Optional.empty());
                inTimeCost = cost;
            }
        }
        return best.waitMillis() > mostWait && inTime != null ? inTime : best;
    }

    /**
     * Returns the time until an engine has read a prompt. Engines read what takes little time first, so a prompt waits for
     * the part of what is to be read there that is in smaller pieces: half of it for one of the usual size. 0 until engines'
     * speed was measured: a node that has just started would turn callers away for a guess.
     */
    private double waitMillis(ServerInstance server, int toRead) {
        if (!speed.measured()) {
            return 0;
        }
        double ahead = server.promptTokensOfAll() * (toRead / (toRead + meanReading));
        return (ahead + toRead) / speed.tokensPerMilli();
    }

    /**
     * Adds to a choice what the engine should fetch. It changes no choice: that a fetch costs little must not make a prompt
     * leave the engines that hold its parts, since every copy takes memory from other parts.
     */
    private Decision withFetch(PlacementRequest request, Decision placed, List<ServerInstance> candidates, long now) {
        if (off.contains(Mechanism.FETCH)) {
            return placed;
        }
        int here = held(placed.server(), request.prompt());
        if (request.prompt().sharedTokens() - here < LEAST_FETCH) {
            return placed;
        }
        int most = here + LEAST_FETCH - 1;
        ServerInstance source = null;
        for (ServerInstance server : candidates) {
            int there = memory.read(server.life(), request.prompt(), now);
            if (server != placed.server() && there > most) {
                source = server;
                most = there;
            }
        }
        if (source == null) {
            return placed;
        }
        int tokens = most - here;
        double share = request.service().fetchMillis(tokens) * speed.tokensPerMilli() / tokens;
        if (share > FETCH_GAIN) {
            return placed;
        }
        int toRead = Math.max(1, placed.tokensToRead() - (int) ((1 - share) * tokens));
        return placed.fetching(new PrefixFetch(source, tokens), toRead);
    }

    private int held(ServerInstance server, Prompt prompt) {
        return off.contains(Mechanism.PREFIX_MEMORY) ? 0 : memory.held(server.life(), prompt);
    }

    /** Returns the tokens by which an engine costs less than others, since shared parts of a prompt belong there. */
    private static double preference(int home, int sharedTokens) {
        return home < 0 ? 0 : HOME_WEIGHT * sharedTokens / (home + 1);
    }

    private Decision inOrder(PlacementRequest request, Decision placed) {
        if (off.contains(Mechanism.READING_ORDER)) {
            return placed;
        }
        int step = order.step(request.route(), request.prompt(), placed.tokensToRead(), speed.tokensPerMilli());
        return placed.at(step);
    }

    @Override
    public void sent(PlacementRequest request, Decision placed, long now) {
        if (!request.service().engines()) {
            return;
        }
        memory.keep(
                placed.server().life(),
                request.prompt().sharedParts(),
                request.service().memoryTokens(),
                now);
        DemandEstimator meter = meter(request.service().name(), now);
        meter.sent(placed.longPrompt(), placed.tokensToRead(), now);
        meter.rank(placed.longPrompt(), request.route().priority(), now);
        if (placed.longPrompt()) {
            meanReading += NEWEST * (placed.tokensToRead() - meanReading);
        }
    }

    @Override
    public void read(PlacementRequest request, Decision placed, long millis) {
        // Shared parts may be held though nobody here knows of it, after a restart above all. Were they counted as
        // read, an
        // engine would seem many times as fast as it is, and large prompts would count as short ones.
        speed.read(request.prompt().inputTokens() - request.prompt().sharedTokens(), millis);
    }

    @Override
    public void ended(PlacementRequest request, Decision placed, long now) {
        if (request.service().engines() && !placed.longPrompt()) {
            meter(request.service().name(), now).shortEnded();
        }
    }

    private double cost(PlacementRequest request, ServerInstance server, int toRead) {
        double cost = server.promptTokensOfAll() + READING_WEIGHT * toRead + RUNNING_TOKENS * server.runningOfAll();
        if (server.runningOfAll() >= server.slots()) {
            cost += (double) RUNNING_TOKENS * 10 * (server.runningOfAll() - server.slots() + 1);
        }
        return server.domain().equals(request.domain()) ? cost : cost + OTHER_DOMAIN_TOKENS;
    }

    /**
     * Returns the engines of a request's lane. Candidates are in the order of their ids, so that all nodes agree on the
     * lanes without asking each other.
     */
    private List<ServerInstance> lane(
            PlacementRequest request, boolean longPrompt, List<ServerInstance> candidates, long now) {
        if (off.contains(Mechanism.LANES)) {
            return candidates;
        }
        String service = request.service().name();
        LaneDemand demand = meter(service, now).demand(now).plus(peers.getOrDefault(service, LaneDemand.NONE));
        double promptMillis = Math.max(1, meter(service, now).shortPrompt() / speed.tokensPerMilli());
        int shortEngines = LaneSizing.shortEngines(
                candidates.size(),
                request.service().slots(),
                demand,
                speed.tokensPerMilli(),
                LaneSizing.shortReading(tightestPause, promptMillis),
                !off.contains(Mechanism.URGENT_LANE) && meter(service, now).shortMoreUrgent());
        if (shortEngines >= candidates.size()) {
            return candidates;
        }
        List<ServerInstance> own =
                longPrompt ? candidates.subList(shortEngines, candidates.size()) : candidates.subList(0, shortEngines);
        boolean mayOverflow =
                !longPrompt || request.route().priority() <= meter(service, now).urgentShort(now);
        if (!mayOverflow
                || off.contains(Mechanism.LANE_OVERFLOW)
                || !withPlace(own).isEmpty()) {
            return own;
        }
        List<ServerInstance> free = withPlace(candidates);
        return free.isEmpty() ? candidates : free;
    }

    /**
     * Returns the engines of a lane that have a free place. Where a lane has none, its requests go to those of the other one:
     * what waits for a place has no first output until another request ends, while beside long prompts it only pauses too
     * long, however much there is to read. Long prompts that are less urgent than the short ones stay, though: in a long
     * burst they fill the long lane and would then fill the short one, whose streams pause for each of them.
     */
    private static List<ServerInstance> withPlace(List<ServerInstance> lane) {
        List<ServerInstance> free = new ArrayList<>();
        for (ServerInstance server : lane) {
            if (server.runningOfAll() < server.slots()) {
                free.add(server);
            }
        }
        return free;
    }

    private Decision leastBusy(PlacementRequest request, List<ServerInstance> candidates) {
        ServerInstance best = null;
        double bestCost = 0;
        for (int i = 0; i < candidates.size(); i++) {
            ServerInstance server = candidates.get(Math.floorMod(i + turn, candidates.size()));
            double cost = server.runningOfAll() / (double) Math.max(1, server.slots())
                    + (server.domain().equals(request.domain()) ? 0 : 0.01);
            if (best == null || cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return Decision.plain(best, 0);
    }
}
