package org.tanagerhinge.bench.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.tanagerhinge.core.relay.AdmissionControl;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.PeerLoadUpdater;
import org.tanagerhinge.core.relay.PeerReport;
import org.tanagerhinge.core.relay.PeerTable;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.PromptAwarePlacement;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RankGate;
import org.tanagerhinge.core.relay.ReportSchedule;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.relay.ServiceConfig;

/** One gateway: the real decision code, and reports of its peers that are as late as those of a deployed one. */
final class ModelGateway {
    private static final int MOST_SENDS = 4;
    /** Time that a report takes to the other gateways, with what waits before it. */
    private static final double DELAY_MILLIS = 2;

    private final String name;
    private final FleetModel fleet;
    private final FleetScene scene;
    private final ServiceConfig service;
    private final PlacementPolicy placement;
    private final Set<Mechanism> off;
    private final RankGate ranks = RankGate.create();
    private final PeerTable table;
    private final Map<String, ServerInstance> servers = new LinkedHashMap<>();
    private final PeerLoadUpdater load = PeerLoadUpdater.of(servers::get);
    private final List<KeptParts> kept = new ArrayList<>();
    private long reports;
    private long tokensSince;
    private double toldAt;

    private record KeptParts(String server, List<PromptPart> parts) {}

    ModelGateway(String name, FleetModel fleet, FleetScene scene, Set<Mechanism> off) {
        this.name = name;
        this.fleet = fleet;
        this.scene = scene;
        EngineTerms engine = scene.engine();
        this.service =
                new ServiceConfig("model", 300, engine.slots(), engine.memoryTokens(), 1, 8_000 / engine.fetchMicros());
        this.off = off;
        this.placement = PromptAwarePlacement.without(off);
        this.table = PeerTable.of(name);
        placement.updateMinEventGap(
                scene.kinds().stream().mapToLong(PromptKind::gapMillis).min().orElse(120));
        for (int i = 0; i < scene.engines(); i++) {
            String id = FleetModel.engineId(i);
            servers.put(
                    id,
                    ServerInstance.of(new ServerRegistration(
                            id, 0, "model", new InetSocketAddress("127.0.0.1", 1), "d", engine.slots(), false)));
        }
    }

    private static long millis(double now) {
        return (long) now;
    }

    ServerInstance server(String id) {
        return servers.get(id);
    }

    /** Takes a caller's request, or one that another engine has failed. */
    void take(ModelCall call, Set<String> tried) {
        double now = fleet.now();
        if (call.over) {
            return;
        }
        List<ServerInstance> candidates = candidates(tried, millis(now));
        PlacementRequest request = new PlacementRequest(fleet.route(call.kind), service, call.prompt, "d");
        call.request = request;
        Optional<PlacementPolicy.Decision> placed = placement.place(request, candidates, millis(now));
        if (placed.isEmpty() || call.sends >= MOST_SENDS) {
            fleet.refused(call, 300 + fleet.random().nextInt(300), "no_server");
            return;
        }
        ServerInstance chosen = placed.get().server();
        if (call.sends == 0
                && !off.contains(Mechanism.RANK_GATE)
                && ranks.mustYield(rank(call), chosen.instanceId(), millis(now))) {
            fleet.refused(call, 300 + fleet.random().nextInt(300), "yields");
            return;
        }
        boolean last = fleet.config().isLeastUrgent(call.workspace, request.route(), service.name());
        if (call.sends == 0 && last && !off.contains(Mechanism.ADMISSION)) {
            OptionalLong comeBack = AdmissionControl.retryAfterMillis(
                    request.route(),
                    placed.get().expectedWaitMillis(),
                    millis(call.deadline - now),
                    fleet.random().nextDouble());
            if (comeBack.isPresent()) {
                fleet.refused(call, comeBack.getAsLong(), "turned away");
                return;
            }
        }
        call.sends++;
        call.gateway = this;
        call.placed = placed.get();
        call.sentAt = now;
        call.level = fleet.config()
                .priorityLevel(
                        call.workspace,
                        request.route(),
                        service.name(),
                        placed.get().step());
        call.sequence = fleet.nextSequence();
        chosen.recordSent(placed.get().tokensToPrefill());
        placement.recordSent(request, placed.get(), millis(now));
        call.waiting =
                RankGate.PendingRequest.of(chosen.instanceId(), rank(call), millis(now) + call.kind.targetMillis());
        ranks.recordSent(call.waiting);
        noteKept(chosen, call);
        EngineModel engine = fleet.engine(chosen.id());
        Set<String> again = new HashSet<>(tried);
        again.add(chosen.id());
        if (!engine.up()) {
            settle(call, true);
            chosen.health().recordUnreachable(millis(now));
            take(call, again);
        } else if (!engine.offer(call, now)) {
            fleet.fullEngines++;
            settle(call, true);
            take(call, again);
        }
    }

    private int rank(ModelCall call) {
        return fleet.config().rank(call.workspace, call.request.route());
    }

    private List<ServerInstance> candidates(Set<String> tried, long now) {
        List<ServerInstance> usable = new ArrayList<>();
        for (ServerInstance server : servers.values()) {
            if (!tried.contains(server.id()) && server.health().probeDue(now)) {
                server.health().recordProbe(now);
                return List.of(server);
            }
            if (!tried.contains(server.id()) && server.health().usable(now)) {
                usable.add(server);
            }
        }
        return usable;
    }

    private void noteKept(ServerInstance server, ModelCall call) {
        if (kept.size() < ReportSchedule.MAX_PROMPTS_PER_REPORT) {
            kept.add(new KeptParts(server.instanceId(), call.prompt.sharedParts()));
        }
        tokensSince += call.prompt.inputTokens();
        if (tokensSince >= ReportSchedule.EARLY_REPORT_TOKENS
                && fleet.now() - toldAt >= ReportSchedule.minIntervalMillis(peers())) {
            tell();
        }
    }

    private int peers() {
        return scene.gateways() - 1;
    }

    /** The first event of an answer has come. */
    void began(ModelCall call) {
        ranks.recordSettled(call.waiting);
        ServerInstance server = call.placed.server();
        server.recordPrefill(call.placed.tokensToPrefill());
        server.health().recordSuccess();
        placement.recordPrefill(call.request, call.placed, millis(fleet.now() - call.sentAt));
    }

    /** A request has left its engine, whichever way. */
    void settle(ModelCall call, boolean reading) {
        ranks.recordSettled(call.waiting);
        ServerInstance server = call.placed.server();
        if (reading) {
            server.recordPrefill(call.placed.tokensToPrefill());
        }
        server.recordEnd();
        placement.recordEnd(call.request, call.placed, millis(fleet.now()));
    }

    void report() {
        table.forgetSilent(millis(fleet.now()));
        takeSums();
        tell();
        fleet.at(fleet.now() + ReportSchedule.idleIntervalMillis(peers()), this::report);
    }

    private void tell() {
        Map<String, PeerReport.InstanceLoad> uses = new HashMap<>();
        for (ServerInstance server : servers.values()) {
            if (server.inFlight() > 0) {
                uses.put(
                        server.instanceId(),
                        new PeerReport.InstanceLoad(server.inFlight(), server.pendingPrefillTokens()));
            }
        }
        long interval = ReportSchedule.idleIntervalMillis(peers());
        PeerReport report = new PeerReport(
                name, 1, ++reports, name, true, 1, 0, 0, interval, uses, placement.localDemands(millis(fleet.now())));
        List<KeptParts> told = List.copyOf(kept);
        kept.clear();
        tokensSince = 0;
        toldAt = fleet.now();
        fleet.at(fleet.now() + DELAY_MILLIS, () -> {
            for (ModelGateway other : fleet.gateways()) {
                if (other != this) {
                    other.hear(report, told);
                }
            }
        });
    }

    private void hear(PeerReport report, List<KeptParts> told) {
        long now = millis(fleet.now());
        Map<String, PeerReport.InstanceLoad> before = table.loads(report.name(), now);
        if (!table.accept(report, now)) {
            return;
        }
        for (KeptParts parts : told) {
            placement.recordPeerSent(servers.get(parts.server()), service, parts.parts(), now);
        }
        if (off.contains(Mechanism.PEER_LOAD)) {
            return;
        }
        load.applyChange(before, report.loads());
    }

    private void takeSums() {
        if (off.contains(Mechanism.PEER_LOAD)) {
            return;
        }
        long now = millis(fleet.now());
        load.applyTotals(servers.values(), table.loads(now));
        placement.updatePeerDemands(table.demands(now));
    }

    /** An engine has lost power. */
    void lost(String engine) {
        placement.forgetInstance(engine);
    }
}
