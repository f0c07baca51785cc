package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Divides the engines of each service into a lane for short and one for long prompts, by the demand of all nodes'
 * callers.
 *
 * <p>The engines of a service are ordered by speed band and id, so nodes that know the same work times agree on the
 * lanes without communication. The short lane takes the first ones, since fast engines meet tight event gaps best.
 */
final class EngineLanes {
    private final Set<Mechanism> disabled;
    private final EngineCost costs;
    private final Map<String, ServiceState> stateByService = new HashMap<>();
    private final Map<String, SlownessEstimator> slownessByService = new HashMap<>();
    private Map<String, LaneDemand> peerDemands = Map.of();
    private long minEventGapMillis;

    private EngineLanes(Set<Mechanism> disabled, EngineCost costs, long minEventGapMillis) {
        this.disabled = disabled;
        this.costs = costs;
        this.minEventGapMillis = minEventGapMillis;
    }

    static EngineLanes of(Set<Mechanism> disabled, EngineCost costs, long minEventGapMillis) {
        return new EngineLanes(disabled, costs, minEventGapMillis);
    }

    /** Holds what is learned about one service. */
    private static final class ServiceState {
        private final DemandEstimator demand;
        private final LaneSizeHold shortLaneSize = LaneSizeHold.create();

        ServiceState(long nowMillis) {
            demand = DemandEstimator.create(nowMillis);
        }
    }

    private ServiceState state(String service, long nowMillis) {
        return stateByService.computeIfAbsent(service, name -> new ServiceState(nowMillis));
    }

    DemandEstimator demand(String service, long nowMillis) {
        return state(service, nowMillis).demand;
    }

    void updateMinEventGap(long millis) {
        minEventGapMillis = millis;
    }

    void updatePeerDemands(Map<String, LaneDemand> demands) {
        peerDemands = Map.copyOf(demands);
    }

    Map<String, LaneDemand> localDemands(long nowMillis) {
        Map<String, LaneDemand> demands = new HashMap<>();
        stateByService.forEach((service, state) -> demands.put(service, state.demand.demand(nowMillis)));
        return demands;
    }

    /** Records the work time that a server stated to this node at a time in milliseconds. */
    void recordWorkTime(ServerInstance server, double factor, long statedAtMillis) {
        if (server.workTime().record(factor, statedAtMillis)) {
            recordSlowness(server, factor, statedAtMillis);
        }
    }

    /** Records the work time that a server stated to another node. */
    void recordPeerWorkTime(ServerInstance server, PeerReport.StatedWorkTime stated, long nowMillis) {
        if (server.workTime().recordFromPeer(stated, nowMillis)) {
            recordSlowness(server, stated.factor(), nowMillis);
        }
    }

    private void recordSlowness(ServerInstance server, double factor, long nowMillis) {
        slownessByService
                .computeIfAbsent(server.service(), service -> SlownessEstimator.create())
                .record(factor / server.workTime().usual(), nowMillis);
    }

    /** Returns how much slower than usual the engines of a service get at times, at least 1. */
    double slowness(String service, long nowMillis) {
        SlownessEstimator estimator = slownessByService.get(service);
        return estimator == null ? 1 : estimator.quantile(nowMillis);
    }

    /** Returns the engines that a request may use. */
    List<ServerInstance> lane(
            PlacementRequest request, boolean longPrompt, List<ServerInstance> candidates, long nowMillis) {
        if (disabled.contains(Mechanism.LANES)) {
            return candidates;
        }
        List<ServerInstance> engines = orderedBySpeed(candidates);
        int shortLaneSize = shortLaneSize(request.service(), engines, nowMillis);
        if (shortLaneSize >= engines.size()) {
            return engines;
        }
        List<ServerInstance> ownLane =
                longPrompt ? engines.subList(shortLaneSize, engines.size()) : engines.subList(0, shortLaneSize);
        if (!mayOverflow(request, longPrompt, nowMillis)
                || disabled.contains(Mechanism.LANE_OVERFLOW)
                || !withFreeSlot(ownLane).isEmpty()) {
            return ownLane;
        }
        List<ServerInstance> free = withFreeSlot(engines);
        if (!free.isEmpty()) {
            return free;
        }
        List<ServerInstance> next = withNextSlot(engines, request.route().priority());
        return next.isEmpty() ? engines : next;
    }

    private static boolean anyOffNominal(List<ServerInstance> engines) {
        return engines.stream().anyMatch(engine -> engine.workTime().usual() != 1);
    }

    /** Returns the engines, which are ordered by id, ordered by speed band and id. */
    private static List<ServerInstance> orderedBySpeed(List<ServerInstance> engines) {
        int lowest = Integer.MAX_VALUE;
        int highest = Integer.MIN_VALUE;
        for (ServerInstance engine : engines) {
            lowest = Math.min(lowest, engine.workTime().band());
            highest = Math.max(highest, engine.workTime().band());
        }
        if (lowest >= highest) {
            return engines;
        }
        List<ServerInstance> ordered = new ArrayList<>(engines.size());
        for (int band = lowest; band <= highest; band++) {
            for (ServerInstance engine : engines) {
                if (engine.workTime().band() == band) {
                    ordered.add(engine);
                }
            }
        }
        return ordered;
    }

    private int shortLaneSize(ServiceConfig service, List<ServerInstance> engines, long nowMillis) {
        ServiceState state = state(service.name(), nowMillis);
        LaneDemand demand =
                state.demand.demand(nowMillis).plus(peerDemands.getOrDefault(service.name(), LaneDemand.NONE));
        boolean shortMoreUrgent = !disabled.contains(Mechanism.URGENT_LANE) && state.demand.isShortMoreUrgent();
        double shortPrefillMillis = Math.max(1, state.demand.meanShortPromptTokens() / costs.tokensPerMilli());
        int usualSize = LaneSizing.shortLaneSize(
                engines.size(),
                service.slots(),
                demand,
                costs.tokensPerMilli(),
                LaneSizing.shortPrefillShare(minEventGapMillis, shortPrefillMillis),
                shortMoreUrgent);
        double slowness = slowness(service.name(), nowMillis);
        if (usualSize >= engines.size() || (slowness <= 1 && !anyOffNominal(engines))) {
            return usualSize;
        }
        UnevenLaneSizing sizing = new UnevenLaneSizing(
                service.slots(), costs.tokensPerMilli(), minEventGapMillis, shortPrefillMillis, slowness);
        int size = sizing.shortLaneSize(engines, demand, shortMoreUrgent);
        return Math.min(engines.size() - 1, state.shortLaneSize.hold(size, nowMillis));
    }

    /**
     * Returns whether a request may use the other lane when its own has no free slot: without a slot a request gets no
     * output until another one ends, whereas next to long prompts its stream only exceeds its event gap. Long prompts
     * that are less urgent than the short ones stay in their lane; a long burst of them would otherwise fill the short
     * lane as well and delay its streams.
     */
    private boolean mayOverflow(PlacementRequest request, boolean longPrompt, long nowMillis) {
        return !longPrompt
                || request.route().priority()
                        <= demand(request.service().name(), nowMillis).mostUrgentShortRank(nowMillis);
    }

    /**
     * Returns the engines where a request of a rank gets the next slot that becomes free, since the requests that wait
     * there are less urgent.
     */
    private static List<ServerInstance> withNextSlot(List<ServerInstance> engines, int rank) {
        return engines.stream()
                .filter(server -> server.totalInFlightUpTo(rank) < server.slots())
                .toList();
    }

    private static List<ServerInstance> withFreeSlot(List<ServerInstance> lane) {
        List<ServerInstance> free = new ArrayList<>();
        for (ServerInstance server : lane) {
            if (server.totalInFlight() < server.slots()) {
                free.add(server);
            }
        }
        return free;
    }
}
