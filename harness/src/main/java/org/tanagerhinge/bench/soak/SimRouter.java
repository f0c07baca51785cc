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
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.router.ExchangeOutcome;
import org.tanagerhinge.core.router.RouterCore;
import org.tanagerhinge.core.router.RouterOptions;
import org.tanagerhinge.core.router.RouterPort;

/** A simulated router process around the real decisions. */
final class SimRouter extends SimNode implements RouterPort {
    private static final Duration POLL = Duration.ofSeconds(1);
    private static final Duration RECONNECT = Duration.ofMillis(200);

    private final Map<ServerId, SimLink> links = new LinkedHashMap<>();
    private final Map<ServerId, Boolean> wanted = new LinkedHashMap<>();
    private final Map<RequestId, SimCall> calls = new LinkedHashMap<>();
    private RouterCore core;
    private RouterId id;
    private ConfigRevision applied = ConfigRevision.NONE;
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

    boolean takesCalls() {
        return up() && !stopping;
    }

    @Override
    void started() {
        links.clear();
        wanted.clear();
        calls.clear();
        stopping = false;
        applied = ConfigRevision.NONE;
        id = RouterId.of(name, sim.random.nextLong());
        core = RouterCore.create(
                id, RouterOptions.defaults(FailureDomain.of(domain)), sim.timeline, sim.random, this, sim.checks);
        poll(life(), Duration.ofMillis(1));
    }

    private void poll(int ofLife, Duration delay) {
        sim.timeline.after(delay, () -> {
            if (up() && life() == ofLife) {
                sim.store.readFor(this, config -> deliver(ofLife, () -> core.applyConfig(config)));
                poll(ofLife, POLL);
            }
        });
    }

    @Override
    void crashed() {
        List.copyOf(links.values()).forEach(link -> link.cut(false, sim.chance(0.7)));
        links.clear();
        wanted.clear();
        List.copyOf(calls.values()).forEach(SimCall::connectionBroke);
        calls.clear();
    }

    /** Stops as planned and comes back; no caller may lose its answer by it. */
    void restartAsPlanned() {
        if (!up() || paused() || stopping) {
            return;
        }
        stopping = true;
        core.beginStop();
        awaitDrained(life());
    }

    private void awaitDrained(int ofLife) {
        sim.timeline.after(Duration.ofMillis(200), () -> {
            if (!up() || life() != ofLife) {
                return;
            }
            if (!core.drained()) {
                awaitDrained(ofLife);
                return;
            }
            sim.checks.check(
                    Invariant.GRACEFUL_STOP, calls.isEmpty(), () -> name + " stops with callers waiting: " + calls);
            crash();
            sim.timeline.after(Duration.ofMillis(500), this::start);
        });
    }

    void call(SimCall call) {
        calls.put(call.id(), call);
        deliver(life(), () -> {
            if (calls.get(call.id()) == call) {
                core.onRequest(call.arrival());
            }
        });
    }

    void hangUp(SimCall call) {
        if (calls.remove(call.id()) != null) {
            deliver(life(), () -> core.onCallerDisconnected(call.id()));
        }
    }

    @Override
    void tick() {
        core.onTick();
    }

    void linkDown(SimLink link) {
        ServerId server = ServerId.of(link.agent().name);
        if (links.remove(server, link)) {
            sim.timeline.log(() -> name + " lost its link to " + server);
            core.onLinkDown(server);
            connectLater(server);
        }
    }

    private void connectLater(ServerId server) {
        int ofLife = life();
        sim.timeline.after(RECONNECT, () -> deliver(ofLife, () -> connect(server)));
    }

    private void connect(ServerId server) {
        if (!wanted.containsKey(server) || links.containsKey(server)) {
            return;
        }
        SimAgent agent = sim.agent(server);
        if (agent == null || !agent.up() || agent.paused() || sim.apart(this, agent)) {
            connectLater(server);
            return;
        }
        SimLink link = new SimLink(sim, this, agent);
        int agentLife = agent.life();
        int ownLife = life();
        links.put(server, link);
        long incarnation = agent.core().incarnation();
        // The handshake's last message is before any other, so neither end hears the other before both are up.
        sim.timeline.after(sim.latency(), () -> {
            deliver(ownLife, () -> {
                if (links.get(server) == link) {
                    core.onLinkUp(server, incarnation);
                }
            });
            agent.deliver(agentLife, () -> agent.linkUp(link));
        });
    }

    /** Breaks the connection to an agent, noticed at once by the ends that are told. */
    void cutLinkTo(SimAgent agent, boolean routerTold, boolean agentTold) {
        SimLink link = links.get(ServerId.of(agent.name));
        if (link != null) {
            link.cut(routerTold, agentTold);
        }
    }

    void receive(SimLink link, Frame.FromAgent frame) {
        ServerId server = ServerId.of(link.agent().name);
        if (links.get(server) == link) {
            sim.timeline.log(() -> server + " -> " + name + " " + Simulation.brief(frame));
            core.onFrame(server, frame);
        }
    }

    @Override
    public void send(ServerId server, Frame.FromRouter frame) {
        SimLink link = links.get(server);
        if (link != null) {
            link.toAgent(frame);
        }
    }

    @Override
    public void claim(long sequence, ClaimEntry wanted, long expectedGeneration) {
        int ofLife = life();
        sim.store.claimFor(
                wanted, expectedGeneration, decision -> deliver(ofLife, () -> core.onClaimDecided(sequence, decision)));
    }

    @Override
    public void releaseClaim(ClaimEntry claim) {
        sim.store.releaseFor(claim);
    }

    @Override
    public void link(BackendServer server) {
        wanted.put(server.id(), true);
        connectLater(server.id());
    }

    @Override
    public void unlink(ServerId server) {
        wanted.remove(server);
        SimLink link = links.remove(server);
        if (link != null) {
            link.cut(false, true);
        }
    }

    @Override
    public void deliverHead(RequestId request, int status, String contentType) {
        SimCall call = calls.get(request);
        if (call != null) {
            call.head();
        }
    }

    @Override
    public void deliverChunk(RequestId request, long units, byte[] data) {
        SimCall call = calls.get(request);
        if (call != null) {
            call.piece(data);
            int ofLife = life();
            sim.timeline.after(call.readingTime(), () -> deliver(ofLife, () -> core.onCallerConsumed(request, units)));
        }
    }

    @Override
    public void complete(RequestId request, String finishReason, long units) {
        SimCall call = calls.remove(request);
        if (call != null) {
            call.complete();
        }
    }

    @Override
    public void refuse(RequestId request, RequestFailure refusal) {
        SimCall call = calls.remove(request);
        if (call != null) {
            call.refused(refusal);
        }
    }

    @Override
    public void exchangeEnded(ExchangeOutcome outcome) {
        sim.timeline.log(
                () -> name + " ended " + outcome.request() + " " + outcome.code() + " " + outcome.runOutcome());
    }

    @Override
    public void countDecision(String reason) {
        sim.counted(reason);
    }

    @Override
    public void configApplied(ClusterConfig config) {
        sim.checks.check(
                Invariant.CONFIG_FORWARD,
                !config.revision().isBehind(applied),
                () -> name + " went back from " + applied + " to " + config.revision());
        applied = config.revision();
    }
}
