package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.router.ExchangeOutcome;
import org.tanagerhinge.core.router.RouterCore;
import org.tanagerhinge.core.router.RouterOptions;
import org.tanagerhinge.core.router.RouterPort;
import org.tanagerhinge.node.platform.ClaimStore;

/** Simulates a router process that runs the real decision code. */
final class SimRouter extends SimNode implements RouterPort {
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);

    private final Map<ServerId, SimLink> links = new LinkedHashMap<>();
    private final Map<ServerId, Boolean> linkedServers = new LinkedHashMap<>();
    private final Map<RequestId, SimCall> calls = new LinkedHashMap<>();
    private RouterCore core;
    private SimStoreClient storeClient;
    private ClaimStore claims;
    private RouterId id;
    private ConfigRevision appliedRevision = ConfigRevision.NONE;
    private boolean stopping;

    SimRouter(Simulation sim, String name, String domain) {
        super(sim, name, domain);
    }

    RouterCore core() {
        return core;
    }

    RouterId id() {
        return id;
    }

    boolean acceptsCalls() {
        return up() && !stopping;
    }

    @Override
    void onStart() {
        links.clear();
        linkedServers.clear();
        calls.clear();
        stopping = false;
        appliedRevision = ConfigRevision.NONE;
        id = RouterId.of(name, sim.random.nextLong());
        storeClient = new SimStoreClient(sim.store);
        claims = sim.store.newClaims(storeClient);
        core = RouterCore.create(
                id, RouterOptions.defaults(FailureDomain.of(domain)), sim.scheduler, sim.random, this, sim.checks);
        poll(startNumber(), Duration.ofMillis(1));
    }

    private void poll(int expectedStart, Duration delay) {
        sim.scheduler.after(delay, () -> {
            if (up() && startNumber() == expectedStart) {
                sim.store.readConfig(this, config -> deliver(expectedStart, () -> core.applyConfig(config)));
                deliver(expectedStart, () -> sim.store.recoverClaims(storeClient, claims));
                poll(expectedStart, POLL_INTERVAL);
            }
        });
    }

    @Override
    void onCrash() {
        List.copyOf(links.values()).forEach(link -> link.cut(false, sim.chance(0.7)));
        links.clear();
        linkedServers.clear();
        List.copyOf(calls.values()).forEach(SimCall::connectionLost);
        calls.clear();
    }

    /** Stops gracefully and restarts; checks that no caller loses its answer. */
    void restartGracefully() {
        if (!up() || paused() || stopping) {
            return;
        }
        stopping = true;
        core.beginStop();
        awaitDrained(startNumber());
    }

    private void awaitDrained(int expectedStart) {
        sim.scheduler.after(Duration.ofMillis(200), () -> {
            if (!up() || startNumber() != expectedStart) {
                return;
            }
            if (!core.drained()) {
                awaitDrained(expectedStart);
                return;
            }
            sim.checks.check(Invariant.GRACEFUL_STOP, calls.isEmpty(), () -> name + " stops with open calls: " + calls);
            crash();
            sim.scheduler.after(Duration.ofMillis(500), this::start);
        });
    }

    void startCall(SimCall call) {
        calls.put(call.id(), call);
        deliver(startNumber(), () -> {
            if (calls.get(call.id()) == call) {
                core.onRequest(call.incomingRequest());
            }
        });
    }

    void disconnectCaller(SimCall call) {
        if (calls.remove(call.id()) != null) {
            deliver(startNumber(), () -> core.onCallerDisconnected(call.id()));
        }
    }

    @Override
    void tick() {
        core.onTick();
    }

    void onLinkDown(SimLink link) {
        ServerId server = ServerId.of(link.agent().name);
        if (links.remove(server, link)) {
            sim.scheduler.log(() -> name + " lost its link to " + server);
            core.onLinkDown(server);
            connectLater(server);
        }
    }

    private void connectLater(ServerId server) {
        int expectedStart = startNumber();
        sim.scheduler.after(RECONNECT_DELAY, () -> deliver(expectedStart, () -> connect(server)));
    }

    private void connect(ServerId server) {
        if (!linkedServers.containsKey(server) || links.containsKey(server)) {
            return;
        }
        SimAgent agent = sim.agent(server);
        if (agent == null || !agent.up() || agent.paused() || sim.partitions(this, agent)) {
            connectLater(server);
            return;
        }
        SimLink link = new SimLink(sim, this, agent);
        int agentStart = agent.startNumber();
        int ownStart = startNumber();
        links.put(server, link);
        long incarnation = agent.core().incarnation();
        // The last handshake message precedes all others, so neither end receives messages before both are up.
        sim.scheduler.after(sim.latency(), () -> {
            deliver(ownStart, () -> {
                if (links.get(server) == link) {
                    core.onLinkUp(server, incarnation);
                }
            });
            agent.deliver(agentStart, () -> agent.onLinkUp(link));
        });
    }

    /** Cuts the connection to an agent; ends that are not notified detect it by the idle timeout. */
    void cutLinkTo(SimAgent agent, boolean notifyRouter, boolean notifyAgent) {
        SimLink link = links.get(ServerId.of(agent.name));
        if (link != null) {
            link.cut(notifyRouter, notifyAgent);
        }
    }

    void receive(SimLink link, Frame.FromAgent frame) {
        ServerId server = ServerId.of(link.agent().name);
        if (links.get(server) == link) {
            sim.scheduler.log(() -> server + " -> " + name + " " + Simulation.describe(frame));
            core.onFrame(server, frame);
        }
    }

    @Override
    public void send(ServerId server, Frame.FromRouter frame) {
        SimLink link = links.get(server);
        if (link != null) {
            link.sendToAgent(frame);
        }
    }

    @Override
    public void claim(long sequence, ClaimEntry requested, long expectedGeneration) {
        int expectedStart = startNumber();
        sim.store.submitClaim(
                claims,
                requested,
                expectedGeneration,
                decision -> deliver(expectedStart, () -> core.onClaimDecided(sequence, decision)));
    }

    @Override
    public void releaseClaim(ClaimEntry claim) {
        sim.store.releaseClaim(claims, claim);
    }

    @Override
    public void keepClaims(List<StoredClaim> reported) {
        reported.forEach(claims::keep);
    }

    @Override
    public long storeEra() {
        return storeClient.era();
    }

    @Override
    public void checkStoreEra(long stated) {
        sim.store.recoverClaims(storeClient, claims);
    }

    @Override
    public void link(BackendServer server) {
        linkedServers.put(server.id(), true);
        connectLater(server.id());
    }

    @Override
    public void unlink(ServerId server) {
        linkedServers.remove(server);
        SimLink link = links.remove(server);
        if (link != null) {
            link.cut(false, true);
        }
    }

    @Override
    public void deliverHead(RequestId request, int status, String contentType) {
        SimCall call = calls.get(request);
        if (call != null) {
            call.receiveHead();
        }
    }

    @Override
    public void deliverChunk(RequestId request, long units, byte[] data) {
        SimCall call = calls.get(request);
        if (call != null) {
            call.receiveChunk(data);
            int expectedStart = startNumber();
            sim.scheduler.after(
                    call.consumeDelay(), () -> deliver(expectedStart, () -> core.onCallerConsumed(request, units)));
        }
    }

    @Override
    public void complete(RequestId request, String finishReason, long units) {
        SimCall call = calls.remove(request);
        if (call != null) {
            call.receiveCompletion();
        }
    }

    @Override
    public void refuse(RequestId request, RequestFailure failure) {
        SimCall call = calls.remove(request);
        if (call != null) {
            call.receiveFailure(failure);
        }
    }

    @Override
    public void exchangeEnded(ExchangeOutcome outcome) {
        sim.scheduler.log(
                () -> name + " ended " + outcome.request() + " " + outcome.code() + " " + outcome.runOutcome());
    }

    @Override
    public void countDecision(String reason) {
        sim.increment(reason);
    }

    @Override
    public void configApplied(ClusterConfig config) {
        sim.checks.check(
                Invariant.CONFIG_FORWARD,
                !config.revision().isBehind(appliedRevision),
                () -> name + " configuration went back from " + appliedRevision + " to " + config.revision());
        appliedRevision = config.revision();
    }
}
