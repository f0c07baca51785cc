package org.tanagerhinge.bench.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.result.ResultCode;

/** Simulates a backend server whose token streams slow each other down and which can crash, stall or be slow. */
final class SimBackend {
    private static final double BASE_TOKEN_GAP_MILLIS = 20;
    private static final double TOKEN_GAP_PER_STREAM_MILLIS = 2;
    private static final int SERVICE_CALL_MILLIS = 10;

    private final Simulation sim;
    private final SimAgent agent;
    private final Map<Long, Stream> streams = new LinkedHashMap<>();
    private String softwareVersion;
    private double slowdown = 1;
    private boolean stalled;
    private boolean down;

    private final class Stream {
        private final Run run;
        private final int agentStart;
        private final SimRequest request;
        private int nextToken;
        private boolean paused;
        private boolean tokenPending;

        Stream(Run run) {
            this.run = run;
            this.agentStart = agent.startNumber();
            this.request = sim.requestOf(run);
            this.nextToken = (int) run.submit().resumeFromUnits();
        }

        void schedule() {
            double gapMillis = (BASE_TOKEN_GAP_MILLIS + TOKEN_GAP_PER_STREAM_MILLIS * streams.size()) * slowdown;
            sim.scheduler.after(Duration.ofNanos((long) (gapMillis * 1e6)), this::emitToken);
        }

        private void emitToken() {
            if (streams.get(run.id()) != this || agent.startNumber() != agentStart) {
                return;
            }
            if (paused || stalled) {
                tokenPending = true;
                return;
            }
            if (nextToken >= request.length()) {
                // All tokens were delivered but the completion was lost: a resumed stream completes immediately.
                streams.remove(run.id());
                agent.deliver(agentStart, () -> agent.core().onCompleted(run.id(), "stop"));
                return;
            }
            byte[] data = SimRequest.token(request.number(), nextToken, softwareVersion)
                    .getBytes(StandardCharsets.UTF_8);
            if (nextToken == (int) run.submit().resumeFromUnits() && !softwareVersion.isEmpty()) {
                String stated = softwareVersion;
                agent.deliver(agentStart, () -> agent.core().onSoftwareVersion(run.id(), stated));
            }
            nextToken++;
            agent.deliver(agentStart, () -> agent.core().onOutput(run.id(), 1, data));
            if (nextToken >= request.length()) {
                streams.remove(run.id());
                agent.deliver(agentStart, () -> agent.core().onCompleted(run.id(), "stop"));
            } else {
                schedule();
            }
        }

        void resumeIfPending() {
            if (tokenPending && !paused && !stalled) {
                tokenPending = false;
                schedule();
            }
        }
    }

    SimBackend(Simulation sim, SimAgent agent) {
        this.sim = sim;
        this.agent = agent;
        this.softwareVersion = sim.drawSoftwareVersion();
    }

    void start(Run run) {
        int agentStart = agent.startNumber();
        if (down) {
            boolean reached = sim.chance(0.5);
            sim.scheduler.after(
                    Duration.ofMillis(1),
                    () -> agent.deliver(
                            agentStart, () -> agent.core().onFailed(run.id(), reached, failureCode(reached), "down")));
            if (reached) {
                sim.requestOf(run).starts(sim, agent.name, run.submit().request());
            }
            return;
        }
        SimRequest request = sim.requestOf(run);
        request.starts(sim, agent.name, run.submit().request());
        if (run.submit().work().call() instanceof BackendCall.ServiceCall) {
            runServiceCall(run, request, agentStart);
            return;
        }
        Stream stream = new Stream(run);
        streams.put(run.id(), stream);
        sim.scheduler.after(Duration.ofMillis(20 + sim.random.nextInt(60)), stream::schedule);
    }

    private static ResultCode failureCode(boolean reached) {
        return reached ? ResultCode.ENGINE_FAILED : ResultCode.SERVICE_ERROR;
    }

    private void runServiceCall(Run run, SimRequest request, int agentStart) {
        byte[] body = SimRequest.token(request.number(), 0, "").getBytes(StandardCharsets.UTF_8);
        sim.scheduler.after(Duration.ofMillis((long) (SERVICE_CALL_MILLIS * slowdown)), () -> {
            agent.deliver(agentStart, () -> agent.core().onResponseHead(run.id(), 200, "text/plain"));
            agent.deliver(agentStart, () -> agent.core().onOutput(run.id(), body.length, body));
            agent.deliver(agentStart, () -> agent.core().onCompleted(run.id(), "complete"));
        });
    }

    void abort(long runId) {
        streams.remove(runId);
    }

    void setPaused(long runId, boolean paused) {
        Stream stream = streams.get(runId);
        if (stream != null) {
            stream.paused = paused;
            stream.resumeIfPending();
        }
    }

    void probe() {
        int agentStart = agent.startNumber();
        boolean healthy = !down && !stalled;
        sim.scheduler.after(
                Duration.ofMillis(2),
                () -> agent.deliver(agentStart, () -> agent.core().onProbeResult(healthy)));
    }

    /** Fails all running streams, and every run that is started within the duration. */
    void crash(Duration duration) {
        int agentStart = agent.startNumber();
        down = true;
        for (Stream stream : List.copyOf(streams.values())) {
            agent.deliver(
                    agentStart,
                    () -> agent.core().onFailed(stream.run.id(), true, ResultCode.ENGINE_FAILED, "crashed"));
        }
        streams.clear();
        softwareVersion = sim.drawSoftwareVersion();
        sim.scheduler.after(duration, () -> down = false);
    }

    void slow(double factor, Duration duration) {
        slowdown = factor;
        sim.scheduler.after(duration, () -> slowdown = 1);
    }

    void stall(Duration duration) {
        stalled = true;
        sim.scheduler.after(duration, () -> {
            stalled = false;
            List.copyOf(streams.values()).forEach(Stream::resumeIfPending);
        });
    }

    void dropStreams() {
        streams.clear();
    }
}
