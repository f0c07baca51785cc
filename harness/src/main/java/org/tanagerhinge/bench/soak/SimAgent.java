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

/** Simulates an agent process that runs the real decision code. */
final class SimAgent extends SimNode implements AgentPort {
    private static final Duration POLL_INTERVAL_WITHOUT_LINKS = Duration.ofSeconds(1);

    private final SimBackend backend = new SimBackend(sim, this);
    private final Map<RouterId, SimLink> links = new LinkedHashMap<>();
    private AgentCore core;
    private ConfigRevision appliedRevision = ConfigRevision.NONE;

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
    void onStart() {
        links.clear();
        appliedRevision = ConfigRevision.NONE;
        AgentOptions options = AgentOptions.defaults()
                .withQueue(40, 1 << 20)
                .withConcurrency(new AgentOptions.ConcurrencyPolicy.Adaptive(3, 8));
        core = AgentCore.create(ServerId.of(name), sim.random.nextLong(), options, sim.scheduler, this, sim.checks);
        poll(startNumber());
    }

    private void poll(int expectedStart) {
        sim.scheduler.after(POLL_INTERVAL_WITHOUT_LINKS, () -> {
            if (up() && startNumber() == expectedStart) {
                if (links.isEmpty()) {
                    sim.store.readConfig(this, config -> deliver(expectedStart, () -> core.applyConfig(config)));
                }
                poll(expectedStart);
            }
        });
    }

    @Override
    void onCrash() {
        backend.dropStreams();
        List.copyOf(links.values()).forEach(link -> link.cut(sim.chance(0.7), false));
        links.clear();
    }

    /** Stops gracefully and restarts; checks that no request in flight is interrupted. */
    void restartGracefully() {
        if (!up() || paused()) {
            return;
        }
        int expectedStart = startNumber();
        core.beginStop();
        sim.scheduler.log(() -> name + " begins a graceful stop");
        awaitDrained(expectedStart);
    }

    private void awaitDrained(int expectedStart) {
        sim.scheduler.after(Duration.ofMillis(200), () -> {
            if (!up() || startNumber() != expectedStart) {
                return;
            }
            if (!core.isDrained()) {
                awaitDrained(expectedStart);
                return;
            }
            sim.checks.check(
                    Invariant.GRACEFUL_STOP, core.inFlight() == 0, () -> name + " stops with requests in flight");
            sim.scheduler.log(() -> name + " has stopped");
            crash();
            sim.scheduler.after(Duration.ofMillis(500), this::start);
        });
    }

    @Override
    void tick() {
        core.onTick();
    }

    void onLinkUp(SimLink link) {
        SimLink previous = links.put(link.router().id(), link);
        core.onRouterConnected(link.router().id());
        if (previous != null) {
            previous.closeAgentEnd();
        }
    }

    void onLinkDown(SimLink link) {
        if (links.remove(link.router().id(), link)) {
            core.onRouterDisconnected(link.router().id());
        }
    }

    void receive(SimLink link, Frame.FromRouter frame) {
        if (links.get(link.router().id()) == link) {
            sim.scheduler.log(() -> link.router() + " -> " + name + " " + Simulation.describe(frame));
            core.onFrame(link.router().id(), frame);
        }
    }

    @Override
    public void send(RouterId router, Frame.FromAgent frame) {
        SimLink link = links.get(router);
        if (link != null) {
            link.sendToRouter(frame);
        }
    }

    @Override
    public void start(Run run) {
        sim.scheduler.log(() -> name + " starts " + run);
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
        backend.setPaused(runId, paused);
    }

    @Override
    public void count(String reason) {
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
