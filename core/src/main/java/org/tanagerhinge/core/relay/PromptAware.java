package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The product's policy: engines by what they still have to read and what they hold already, in two lanes; plain servers
 * by requests in progress.
 */
public final class PromptAware implements Placement {
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
     * What a shared token of a prompt weighs for the engines to which it belongs while none is known to hold it: a quarter
     * of what it would if they held it for certain, so that the home is chosen unless it has 0.2 s more to read than others.
     */
    private static final double HOME_WEIGHT = 2;

    private final Set<Mechanism> off;
    private final PrefixMemory memory = PrefixMemory.create();
    private final Map<String, DemandMeter> meters = new HashMap<>();
    private Map<String, LaneDemand> peers = Map.of();
    private final ReadingOrder order = ReadingOrder.create();
    private final SpeedMeter speed = SpeedMeter.create(FIRST_SPEED);
    private long tightestPause = FIRST_PAUSE_MILLIS;
    private int turn;

    private PromptAware(Set<Mechanism> off) {
        this.off = off;
    }

    /** Returns the policy, which knows nothing of any server yet. */
    public static PromptAware create() {
        return without(Set.of());
    }

    /** Returns the policy with some mechanisms switched off, for experiments. */
    public static PromptAware without(Set<Mechanism> off) {
        return new PromptAware(off);
    }

    @Override
    public void tightestPause(long millis) {
        tightestPause = millis > 0 ? millis : FIRST_PAUSE_MILLIS;
    }

    /** Returns whether so many tokens are a long prompt: reading them makes the streams beside it pause. */
    private boolean isLong(int tokens) {
        return tokens > LONG_SHARE * tightestPause * speed.tokensPerMilli();
    }

    private DemandMeter meter(String service, long now) {
        return meters.computeIfAbsent(service, name -> DemandMeter.create(now));
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
    public void kept(RelayServer server, ServiceTerms service, List<PromptPart> parts) {
        memory.keep(server.life(), parts, service.memoryTokens());
    }

    @Override
    public void forget(String life) {
        memory.forget(life);
    }

    @Override
    public Optional<Placed> place(PlacementRequest request, List<RelayServer> candidates, long now) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        turn++;
        if (!request.service().engines() || request.prompt().inputTokens() == 0) {
            return Optional.of(leastBusy(request, candidates));
        }
        boolean longPrompt = isLong(request.prompt().inputTokens());
        List<RelayServer> lane = lane(request, longPrompt, candidates, now);
        PrefixHomes homes = PrefixHomes.of(request.prompt(), lane);
        Placed best = null;
        double bestCost = 0;
        for (int i = 0; i < lane.size(); i++) {
            RelayServer server = lane.get(Math.floorMod(i + turn, lane.size()));
            int held = held(server, request.prompt());
            int toRead = Math.max(1, request.prompt().inputTokens() - held);
            double cost =
                    cost(request, server, toRead) - (held > 0 ? 0 : preference(homes.rank(server), request.prompt()));
            if (best == null || cost < bestCost) {
                best = new Placed(server, toRead, 0, longPrompt);
                bestCost = cost;
            }
        }
        return Optional.of(inOrder(request, best));
    }

    private int held(RelayServer server, Prompt prompt) {
        return off.contains(Mechanism.PREFIX_MEMORY) ? 0 : memory.held(server.life(), prompt);
    }

    /** Returns the tokens by which an engine costs less than others, since shared parts of a prompt belong there. */
    private double preference(int homeRank, Prompt prompt) {
        if (homeRank < 0 || off.contains(Mechanism.PREFIX_HOMES)) {
            return 0;
        }
        return HOME_WEIGHT * prompt.sharedTokens() / (homeRank + 1);
    }

    private Placed inOrder(PlacementRequest request, Placed placed) {
        if (off.contains(Mechanism.READING_ORDER)) {
            return placed;
        }
        int step = order.step(request.route(), request.prompt(), placed.tokensToRead(), speed.tokensPerMilli());
        return new Placed(placed.server(), placed.tokensToRead(), step, placed.longPrompt());
    }

    @Override
    public void sent(PlacementRequest request, Placed placed, long now) {
        if (!request.service().engines()) {
            return;
        }
        memory.keep(
                placed.server().life(),
                request.prompt().sharedParts(),
                request.service().memoryTokens());
        DemandMeter meter = meter(request.service().name(), now);
        meter.sent(placed.longPrompt(), placed.tokensToRead(), now);
        if (!placed.longPrompt()) {
            meter.shortRank(request.route().priority(), now);
        }
    }

    @Override
    public void read(PlacementRequest request, Placed placed, long millis) {
        // Shared parts may be held though nobody here knows of it, after a restart above all. Were they counted as
        // read, an
        // engine would seem many times as fast as it is, and large prompts would count as short ones.
        speed.read(request.prompt().inputTokens() - request.prompt().sharedTokens(), millis);
    }

    @Override
    public void ended(PlacementRequest request, Placed placed, long now) {
        if (request.service().engines() && !placed.longPrompt()) {
            meter(request.service().name(), now).shortEnded();
        }
    }

    private double cost(PlacementRequest request, RelayServer server, int toRead) {
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
    private List<RelayServer> lane(
            PlacementRequest request, boolean longPrompt, List<RelayServer> candidates, long now) {
        if (off.contains(Mechanism.LANES)) {
            return candidates;
        }
        String service = request.service().name();
        LaneDemand demand = meter(service, now).demand(now).plus(peers.getOrDefault(service, LaneDemand.NONE));
        double promptMillis = Math.max(1, meter(service, now).shortPrompt() / speed.tokensPerMilli());
        int shortEngines = Lanes.shortEngines(
                candidates.size(),
                request.service().slots(),
                demand,
                speed.tokensPerMilli(),
                Lanes.shortReading(tightestPause, promptMillis));
        if (shortEngines >= candidates.size()) {
            return candidates;
        }
        List<RelayServer> own =
                longPrompt ? candidates.subList(shortEngines, candidates.size()) : candidates.subList(0, shortEngines);
        boolean mayOverflow =
                !longPrompt || request.route().priority() <= meter(service, now).urgentShort(now);
        return anyPlace(own) || !mayOverflow || off.contains(Mechanism.LANE_OVERFLOW) ? own : candidates;
    }

    /**
     * Returns whether any engine has a free place. Where a lane has none, its requests go to the other one too: what waits
     * for a place has no first output until another request ends, while beside long prompts it only pauses too long. Long
     * prompts that are less urgent than the short ones stay, though: in a long burst they fill the long lane and would then
     * fill the short one, whose streams pause for each of them.
     */
    private static boolean anyPlace(List<RelayServer> lane) {
        for (RelayServer server : lane) {
            if (server.runningOfAll() < server.slots()) {
                return true;
            }
        }
        return false;
    }

    private Placed leastBusy(PlacementRequest request, List<RelayServer> candidates) {
        RelayServer best = null;
        double bestCost = 0;
        for (int i = 0; i < candidates.size(); i++) {
            RelayServer server = candidates.get(Math.floorMod(i + turn, candidates.size()));
            double cost = server.runningOfAll() / (double) Math.max(1, server.slots())
                    + (server.domain().equals(request.domain()) ? 0 : 0.01);
            if (best == null || cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return new Placed(best, 0, 0, false);
    }
}
