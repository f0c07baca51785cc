package org.tanagerhinge.bench.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.result.ResultCode;

/** A simulated backend server: streams of tokens that slow each other down, crashes, stalls and slowness. */
final class SimBackend {
    private static final double GAP_MILLIS = 20;
    private static final double GAP_PER_STREAM_MILLIS = 2;
    private static final int CALL_MILLIS = 10;

    private final Simulation sim;
    private final SimAgent agent;
    private final Map<Long, Stream> streams = new LinkedHashMap<>();
    private double slowdown = 1;
    private boolean stalled;
    private boolean down;

    private final class Stream {
        private final Run run;
        private final int agentLife;
        private final SimRequest request;
        private int next;
        private boolean paused;
        private boolean waiting;

        Stream(Run run) {
            this.run = run;
            this.agentLife = agent.life();
            this.request = sim.requestOf(run);
            this.next = (int) run.submit().resumeFromUnits();
        }

        void schedule() {
            double millis = (GAP_MILLIS + GAP_PER_STREAM_MILLIS * streams.size()) * slowdown;
            sim.timeline.after(Duration.ofNanos((long) (millis * 1e6)), this::step);
        }

        private void step() {
            if (streams.get(run.id()) != this || agent.life() != agentLife) {
                return;
            }
            if (paused || stalled) {
                waiting = true;
                return;
            }
            if (next >= request.length()) {
                // All tokens were delivered before the end got lost; a model asked to go on stops at once.
                streams.remove(run.id());
                agent.deliver(agentLife, () -> agent.core().onCompleted(run.id(), "stop"));
                return;
            }
            byte[] data = SimRequest.token(request.number(), next).getBytes(StandardCharsets.UTF_8);
            next++;
            agent.deliver(agentLife, () -> agent.core().onOutput(run.id(), 1, data));
            if (next >= request.length()) {
                streams.remove(run.id());
                agent.deliver(agentLife, () -> agent.core().onCompleted(run.id(), "stop"));
            } else {
                schedule();
            }
        }

        void goOn() {
            if (waiting && !paused && !stalled) {
                waiting = false;
                schedule();
            }
        }
    }

    SimBackend(Simulation sim, SimAgent agent) {
        this.sim = sim;
        this.agent = agent;
    }

    void start(Run run) {
        int life = agent.life();
        if (down) {
            boolean reached = sim.chance(0.5);
            sim.timeline.after(
                    Duration.ofMillis(1),
                    () -> agent.deliver(
                            life, () -> agent.core().onFailed(run.id(), reached, failure(reached), "down")));
            if (reached) {
                sim.requestOf(run).begun(sim, agent.name, run.submit().request());
            }
            return;
        }
        SimRequest request = sim.requestOf(run);
        request.begun(sim, agent.name, run.submit().request());
        if (run.submit().work().call() instanceof BackendCall.ServiceCall) {
            call(run, request, life);
            return;
        }
        Stream stream = new Stream(run);
        streams.put(run.id(), stream);
        sim.timeline.after(Duration.ofMillis(20 + sim.random.nextInt(60)), stream::schedule);
    }

    private static ResultCode failure(boolean reached) {
        return reached ? ResultCode.ENGINE_FAILED : ResultCode.SERVICE_ERROR;
    }

    private void call(Run run, SimRequest request, int life) {
        byte[] answer = SimRequest.token(request.number(), 0).getBytes(StandardCharsets.UTF_8);
        sim.timeline.after(Duration.ofMillis((long) (CALL_MILLIS * slowdown)), () -> {
            agent.deliver(life, () -> agent.core().onResponseHead(run.id(), 200, "text/plain"));
            agent.deliver(life, () -> agent.core().onOutput(run.id(), answer.length, answer));
            agent.deliver(life, () -> agent.core().onCompleted(run.id(), "complete"));
        });
    }

    void abort(long runId) {
        streams.remove(runId);
    }

    void pause(long runId, boolean paused) {
        Stream stream = streams.get(runId);
        if (stream != null) {
            stream.paused = paused;
            stream.goOn();
        }
    }

    void probe() {
        int life = agent.life();
        boolean answers = !down && !stalled;
        sim.timeline.after(
                Duration.ofMillis(2),
                () -> agent.deliver(life, () -> agent.core().onProbeResult(answers)));
    }

    /** Everything running fails, and for a while everything started does. */
    void crash(Duration length) {
        int life = agent.life();
        down = true;
        for (Stream stream : List.copyOf(streams.values())) {
            agent.deliver(
                    life, () -> agent.core().onFailed(stream.run.id(), true, ResultCode.ENGINE_FAILED, "crashed"));
        }
        streams.clear();
        sim.timeline.after(length, () -> down = false);
    }

    void slow(double factor, Duration length) {
        slowdown = factor;
        sim.timeline.after(length, () -> slowdown = 1);
    }

    void stall(Duration length) {
        stalled = true;
        sim.timeline.after(length, () -> {
            stalled = false;
            List.copyOf(streams.values()).forEach(Stream::goOn);
        });
    }

    void forgetAll() {
        streams.clear();
    }
}
