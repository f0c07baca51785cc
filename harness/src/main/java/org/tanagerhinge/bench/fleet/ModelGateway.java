package org.tanagerhinge.bench.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.tanagerhinge.core.relay.AdmissionPolicy;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.PeerLoadUpdater;
import org.tanagerhinge.core.relay.PeerReport;
import org.tanagerhinge.core.relay.PeerTable;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.PromptAwarePlacement;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RankGate;
import org.tanagerhinge.core.relay.RankedLoad;
import org.tanagerhinge.core.relay.ReportSchedule;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.relay.ServiceConfig;
import org.tanagerhinge.core.relay.WorkspaceUses;
import org.tanagerhinge.core.store.StorePosition;

/** Simulates a gateway that runs the real placement code and receives delayed reports of its peers. */
final class ModelGateway {
    private static final int MAX_SENDS = 4;
    /** Delay of a report to the other gateways, including queueing. */
    private static final double REPORT_DELAY_MILLIS = 2;

    private final String name;
    private final FleetModel fleet;
    private final FleetScenario scenario;
    private final ServiceConfig service;
    private final PlacementPolicy placement;
    private final Set<Mechanism> disabledMechanisms;
    private final AdmissionPolicy admission;
    private final PeerTable peerTable;
    private final Map<String, ServerInstance> instanceById = new LinkedHashMap<>();
    private final PeerLoadUpdater peerLoadUpdater = PeerLoadUpdater.of(instanceById::get);
    private final List<CachedPrompt> cachedPrompts = new ArrayList<>();
    private final long incarnation;
    private boolean stopped;
    private long reportCount;
    private long tokensSinceReport;
    private double reportedAtMillis;

    private record CachedPrompt(String server, List<PromptPart> parts) {}

    ModelGateway(String name, FleetModel fleet, FleetScenario scenario, Set<Mechanism> disabledMechanisms) {
        this(name, 1, fleet, scenario, disabledMechanisms);
    }

    private ModelGateway(
            String name,
            long incarnation,
            FleetModel fleet,
            FleetScenario scenario,
            Set<Mechanism> disabledMechanisms) {
        this.name = name;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.scenario = scenario;
        EngineParameters engine = scenario.engine();
        this.service = new ServiceConfig(
                "model", 300, engine.slots(), engine.cacheCapacityTokens(), 1, 8_000 / engine.fetchMicrosPerToken());
        this.disabledMechanisms = disabledMechanisms;
        this.admission = AdmissionPolicy.without(disabledMechanisms);
        this.placement = PromptAwarePlacement.without(disabledMechanisms);
        this.peerTable = PeerTable.of(name);
        placement.updateMinEventGap(scenario.kinds().stream()
                .mapToLong(RequestKind::maxGapMillis)
                .min()
                .orElse(120));
        for (int i = 0; i < scenario.engines(); i++) {
            String id = FleetModel.engineId(i);
            instanceById.put(
                    id,
                    ServerInstance.of(new ServerRegistration(
                            id, 0, "v1", "model", new InetSocketAddress("127.0.0.1", 1), "d", engine.slots(), false)));
        }
    }

    /** Ends the process, which sends no more reports. */
    void stop() {
        stopped = true;
    }

    /** Returns the process that replaces this one; it knows nothing of what this one knew. */
    ModelGateway successor() {
        return new ModelGateway(name, incarnation + 1, fleet, scenario, disabledMechanisms);
    }

    private static long floorMillis(double millis) {
        return (long) millis;
    }

    ServerInstance server(String id) {
        return instanceById.get(id);
    }

    /** Places a request on an engine, or rejects it; {@code triedServers} are excluded. */
    void dispatch(ModelCall call, Set<String> triedServers) {
        double nowMillis = fleet.nowMillis();
        if (call.ended) {
            return;
        }
        List<ServerInstance> candidates = candidates(triedServers, floorMillis(nowMillis));
        PlacementRequest request = new PlacementRequest(fleet.route(call.kind), service, call.prompt, "d");
        call.request = request;
        Optional<PlacementPolicy.Decision> decision = placement.place(request, candidates, floorMillis(nowMillis));
        if (decision.isEmpty() || call.sends >= MAX_SENDS) {
            fleet.rejected(call, 300 + fleet.random().nextInt(300), "no_server");
            return;
        }
        ServerInstance chosen = decision.get().server();
        if (call.sends == 0 && rejected(call, decision.get())) {
            return;
        }
        call.sends++;
        call.gateway = this;
        call.decision = decision.get();
        call.sentAtMillis = nowMillis;
        call.priorityLevel = fleet.config()
                .priorityLevel(
                        call.workspace,
                        request.route(),
                        service.name(),
                        decision.get().step());
        call.sequence = fleet.nextSequence();
        chosen.recordSent(call.kind.rank(), decision.get().tokensToPrefill());
        placement.recordSent(request, decision.get(), floorMillis(nowMillis));
        call.pendingRequest = RankGate.PendingRequest.of(
                chosen.instanceId(), rank(call), floorMillis(nowMillis) + call.kind.firstEventTargetMillis());
        admission.rankGate().recordSent(call.pendingRequest);
        recordSentPrompt(chosen, call);
        EngineModel engine = fleet.engine(chosen.id());
        Set<String> excludedServers = new HashSet<>(triedServers);
        excludedServers.add(chosen.id());
        if (!engine.up()) {
            settle(call, true);
            chosen.health().recordUnreachable(floorMillis(nowMillis));
            dispatch(call, excludedServers);
        } else if (!engine.offer(call, nowMillis)) {
            fleet.rejectedOffers++;
            settle(call, true);
            dispatch(call, excludedServers);
        }
    }

    private boolean rejected(ModelCall call, PlacementPolicy.Decision decision) {
        double nowMillis = fleet.nowMillis();
        Optional<AdmissionPolicy.Rejection> rejection = admission.rejection(
                new AdmissionPolicy.Request(
                        fleet.config(), call.request, call.workspace, floorMillis(call.deadlineMillis - nowMillis)),
                decision,
                floorMillis(nowMillis),
                fleet.random()::nextDouble);
        rejection.ifPresent(found -> fleet.rejected(
                call, found.retryAfterMillis(), found.reason().name().toLowerCase(Locale.ROOT)));
        return rejection.isPresent();
    }

    private int rank(ModelCall call) {
        return fleet.config().rank(call.workspace, call.request.route());
    }

    private List<ServerInstance> candidates(Set<String> triedServers, long nowMillis) {
        List<ServerInstance> usable = new ArrayList<>();
        for (ServerInstance server : instanceById.values()) {
            if (!triedServers.contains(server.id()) && server.health().probeDue(nowMillis)) {
                server.health().recordProbe(nowMillis);
                return List.of(server);
            }
            if (!triedServers.contains(server.id()) && server.health().usable(nowMillis)) {
                usable.add(server);
            }
        }
        return usable;
    }

    private void recordSentPrompt(ServerInstance server, ModelCall call) {
        if (cachedPrompts.size() < ReportSchedule.MAX_PROMPTS_PER_REPORT) {
            cachedPrompts.add(new CachedPrompt(server.instanceId(), call.prompt.sharedParts()));
        }
        tokensSinceReport += call.prompt.inputTokens();
        if (tokensSinceReport >= ReportSchedule.EARLY_REPORT_TOKENS
                && fleet.nowMillis() - reportedAtMillis >= ReportSchedule.minIntervalMillis(peerCount())) {
            sendReport();
        }
    }

    private int peerCount() {
        return scenario.gateways() - 1;
    }

    /** Records the first event of an answer. */
    void recordFirstEvent(ModelCall call) {
        admission.rankGate().recordSettled(call.pendingRequest);
        ServerInstance server = call.decision.server();
        if (scenario.hosts().stated()) {
            placement.recordWorkTime(server, call.engine.workTime(), floorMillis(fleet.nowMillis()));
        }
        server.recordPrefill(call.kind.rank(), call.decision.tokensToPrefill());
        server.health().recordSuccess();
        placement.recordPrefill(call.request, call.decision, floorMillis(fleet.nowMillis() - call.sentAtMillis));
    }

    /** Records that a request has left its engine, whatever its outcome. */
    void settle(ModelCall call, boolean prefillPending) {
        admission.rankGate().recordSettled(call.pendingRequest);
        ServerInstance server = call.decision.server();
        if (prefillPending) {
            server.recordPrefill(call.kind.rank(), call.decision.tokensToPrefill());
        }
        server.recordEnd(call.kind.rank());
        placement.recordEnd(call.request, call.decision, floorMillis(fleet.nowMillis()));
    }

    void report() {
        if (stopped) {
            return;
        }
        peerTable.forgetSilent(floorMillis(fleet.nowMillis()));
        updatePeerTotals();
        sendReport();
        fleet.scheduleAt(fleet.nowMillis() + ReportSchedule.idleIntervalMillis(peerCount()), this::report);
    }

    private void sendReport() {
        Map<String, RankedLoad> loads = new HashMap<>();
        Map<String, PeerReport.StatedWorkTime> workTimes = new HashMap<>();
        for (ServerInstance server : instanceById.values()) {
            if (server.inFlight() > 0) {
                loads.put(server.instanceId(), server.load().copy());
                server.workTime()
                        .recentlyStated(floorMillis(fleet.nowMillis()))
                        .ifPresent(workTime -> workTimes.put(server.instanceId(), workTime));
            }
        }
        long intervalMillis = ReportSchedule.idleIntervalMillis(peerCount());
        PeerReport report = new PeerReport(
                name,
                incarnation,
                ++reportCount,
                name,
                true,
                0,
                1,
                0,
                0,
                0,
                StorePosition.NONE,
                intervalMillis,
                loads,
                placement.localDemands(floorMillis(fleet.nowMillis())),
                OptionalDouble.empty(),
                workTimes,
                placement.measuredPrefillRate());
        List<CachedPrompt> prompts = List.copyOf(cachedPrompts);
        List<WorkspaceUses> uses = admission.shares().nextReport(peerCount(), floorMillis(fleet.nowMillis()));
        cachedPrompts.clear();
        tokensSinceReport = 0;
        reportedAtMillis = fleet.nowMillis();
        fleet.scheduleAt(fleet.nowMillis() + REPORT_DELAY_MILLIS, () -> {
            for (ModelGateway other : fleet.gateways()) {
                if (other != this) {
                    other.receiveReport(report, prompts, uses);
                }
            }
        });
    }

    private void receiveReport(PeerReport report, List<CachedPrompt> prompts, List<WorkspaceUses> uses) {
        long nowMillis = floorMillis(fleet.nowMillis());
        Map<String, RankedLoad> previousLoads = peerTable.loads(report.name(), nowMillis);
        if (!peerTable.accept(report, nowMillis)) {
            return;
        }
        admission.shares().accept(report.name(), uses, nowMillis);
        for (CachedPrompt parts : prompts) {
            placement.recordPeerSent(instanceById.get(parts.server()), service, parts.parts(), nowMillis);
        }
        if (disabledMechanisms.contains(Mechanism.PEER_LOAD)) {
            return;
        }
        peerLoadUpdater.applyChange(previousLoads, report.loads());
        peerLoadUpdater.recordWorkTimes(report.workTimes(), placement, nowMillis);
    }

    private void updatePeerTotals() {
        if (disabledMechanisms.contains(Mechanism.PEER_LOAD)) {
            return;
        }
        long nowMillis = floorMillis(fleet.nowMillis());
        peerLoadUpdater.applyTotals(instanceById.values(), peerTable.loads(nowMillis));
        placement.updatePeerDemands(peerTable.demands(nowMillis));
        peerTable.meanPrefillRate(nowMillis).ifPresent(placement::adoptPrefillRate);
    }

    /** Discards the state of an engine that crashed. */
    void engineLost(String engine) {
        placement.forgetInstance(engine);
    }
}
