package org.tanagerhinge.core.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.SchedulingParameters;
import org.tanagerhinge.core.message.WorkItem;

/** Runs of idempotent requests while the connections of their routers change. */
class RouterConnectionsTest {
    private static final RouterId OLD = RouterId.of("router-1", 1);
    private static final RouterId NEW = RouterId.of("router-1", 2);

    private final RecordingPort port = new RecordingPort();
    private final AgentCore agent = AgentCore.create(
            ServerId.of("engine-1"), 1, AgentOptions.defaults(), () -> Instant.EPOCH, port, InvariantMonitor.strict());

    private void submit(RouterId router) {
        agent.onFrame(
                router,
                new Frame.Submit(
                        1,
                        RequestId.of("r1"),
                        new WorkItem(
                                WorkspaceId.of("w"),
                                ProfileName.of("chat"),
                                new SchedulingParameters(2, 30, 1000, true, Duration.ofSeconds(1), 1),
                                TargetName.of("m"),
                                new BackendCall.ModelCall(new byte[10]),
                                0),
                        Duration.ofSeconds(10),
                        Optional.empty(),
                        Optional.empty(),
                        "",
                        0,
                        "",
                        10));
    }

    /** Guards against answers that end because a router's successor starts while the router finishes them. */
    @Test
    void runsOfARouterGoOnWhileItsSuccessorConnects() {
        agent.onRouterConnected(OLD);
        submit(OLD);
        long run = port.started.getFirst();
        agent.onRouterConnected(NEW);
        assertEquals(List.of(), port.aborted);
        agent.onOutput(run, 1, "a".getBytes(StandardCharsets.UTF_8));
        agent.onCompleted(run, "stop");
        assertTrue(port.frames.get(OLD).stream().anyMatch(Frame.Done.class::isInstance));
    }

    /** Guards against runs that go on for a router that connects again since it has lost them. */
    @Test
    void runsOfARouterAreAbortedWhenItConnectsAgain() {
        agent.onRouterConnected(OLD);
        submit(OLD);
        agent.onRouterConnected(OLD);
        assertEquals(port.started, port.aborted);
        assertEquals(0, agent.inFlight());
    }

    private static final class RecordingPort implements AgentPort {
        private final Map<RouterId, List<Frame>> frames = new HashMap<>();
        private final List<Long> started = new ArrayList<>();
        private final List<Long> aborted = new ArrayList<>();

        @Override
        public void send(RouterId router, Frame.FromAgent frame) {
            frames.computeIfAbsent(router, _ -> new ArrayList<>()).add(frame);
        }

        @Override
        public void start(Run run) {
            started.add(run.id());
        }

        @Override
        public void abort(long runId) {
            aborted.add(runId);
        }

        @Override
        public void probe() {}

        @Override
        public void setPaused(long runId, boolean paused) {}

        @Override
        public void count(String reason) {}

        @Override
        public void configApplied(ClusterConfig config) {}
    }
}
