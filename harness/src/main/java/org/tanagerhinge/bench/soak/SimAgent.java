package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagerhinge.core.agent.AgentCore;
import org.tanagerhinge.core.agent.AgentOptions;
import org.tanagerhinge.core.agent.AgentPort;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.message.Frame;

/** A simulated agent process around the real decisions. */
final class SimAgent extends SimNode implements AgentPort {
    private static final Duration POLL_ALONE = Duration.ofSeconds(1);

    private final SimBackend backend = new SimBackend(sim, this);
    private final Map<RouterId, SimLink> links = new LinkedHashMap<>();
    private AgentCore core;
    private ConfigRevision applied = ConfigRevision.NONE;

    SimAgent(Simulation sim, String name, String domain) {
        super(sim, name, domain);
    }

    AgentCore core() {
        return core;
    }

    SimBackend backend() {
        return backend;
    }

    @Override
    void started() {
        links.clear();
        applied = ConfigRevision.NONE;
        AgentOptions options = AgentOptions.defaults()
                .withQueue(40, 1 << 20)
                .withConcurrency(new AgentOptions.ConcurrencyPolicy.Adaptive(3, 8));
        core = AgentCore.create(ServerId.of(name), sim.random.nextLong(), options, sim.timeline, this, sim.checks);
        poll(life());
    }

    private void poll(int ofLife) {
        sim.timeline.after(POLL_ALONE, () -> {
            if (up() && life() == ofLife) {
                if (links.isEmpty()) {
                    sim.store.readFor(this, config -> deliver(ofLife, () -> core.applyConfig(config)));
                }
                poll(ofLife);
            }
        });
    }

    @Override
    void crashed() {
        backend.forgetAll();
        List.copyOf(links.values()).forEach(link -> link.cut(sim.chance(0.7), false));
        links.clear();
    }

    /** Stops as planned and comes back; nothing in progress may be cut off. */
    void restartAsPlanned() {
        if (!up() || paused()) {
            return;
        }
        int ofLife = life();
        core.beginStop();
        sim.timeline.log(() -> name + " begins a planned stop");
        awaitDrained(ofLife);
    }

    private void awaitDrained(int ofLife) {
        sim.timeline.after(Duration.ofMillis(200), () -> {
            if (!up() || life() != ofLife) {
                return;
            }
            if (!core.isDrained()) {
                awaitDrained(ofLife);
                return;
            }
            sim.checks.check(
                    Invariant.GRACEFUL_STOP, core.inFlight() == 0, () -> name + " stops with work in progress");
            sim.timeline.log(() -> name + " has stopped");
            crash();
            sim.timeline.after(Duration.ofMillis(500), this::start);
        });
    }

    @Override
    void tick() {
        core.onTick();
    }

    void linkUp(SimLink link) {
        SimLink former = links.put(link.router().id(), link);
        core.onRouterConnected(link.router().id());
        if (former != null) {
            former.agentGivesUp();
        }
    }

    void linkDown(SimLink link) {
        if (links.remove(link.router().id(), link)) {
            core.onRouterDisconnected(link.router().id());
        }
    }

    void receive(SimLink link, Frame.FromRouter frame) {
        if (links.get(link.router().id()) == link) {
            sim.timeline.log(() -> link.router() + " -> " + name + " " + Simulation.brief(frame));
            core.onFrame(link.router().id(), frame);
        }
    }

    @Override
    public void send(RouterId router, Frame.FromAgent frame) {
        SimLink link = links.get(router);
        if (link != null) {
            link.toRouter(frame);
        }
    }

    @Override
    public void start(Run run) {
        sim.timeline.log(() -> name + " starts " + run);
        backend.start(run);
    }

    @Override
    public void abort(long runId) {
        backend.abort(runId);
    }

    @Override
    public void probe() {
        backend.probe();
    }

    @Override
    public void setPaused(long runId, boolean paused) {
        backend.pause(runId, paused);
    }

    @Override
    public void count(String reason) {
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
