package org.tanagerhinge.bench.capacity;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.tanagerhinge.core.agent.AgentCore;
import org.tanagerhinge.core.agent.AgentOptions;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.SchedulingParameters;
import org.tanagerhinge.core.message.WorkItem;
import org.tanagerhinge.core.router.RouterCore;
import org.tanagerhinge.core.router.RouterOptions;

/** Measures the CPU time of the decisions per request as a function of queue length, workspaces and linked servers. */
final class DecisionCost {
    private static final int REQUESTS = 3000;
    private static final int TOKENS_PER_REQUEST = 200;
    private static final RouterId ROUTER = RouterId.of("router-1", 1);

    private DecisionCost() {}

    static void measure(CapacityMeasurement capacity) {
        for (int queueLength : new int[] {10, 100, 1000}) {
            capacity.measureAndRecord(
                    "agent, one request queued and dispatched, queue length",
                    queueLength,
                    "us",
                    () -> agentMicrosPerRequest(queueLength, 10));
        }
        for (int workspaces : new int[] {10, 1000, 8300}) {
            capacity.measureAndRecord("agent, one request queued and dispatched, workspaces", workspaces, "us", () -> {
                return agentMicrosPerRequest(1000, workspaces);
            });
        }
        for (int servers : new int[] {10, 24, 200, 750}) {
            capacity.measureAndRecord(
                    "router, one request chosen, sent and ended, servers linked", servers, "us", () -> {
                        return routerMicrosPerRequest(servers, 10);
                    });
        }
        capacity.measureAndRecord(
                "router, one request chosen, sent and ended, workspaces",
                8300,
                "us",
                () -> routerMicrosPerRequest(24, 8300));
        capacity.measureAndRecord(
                "router, one token passed on", TOKENS_PER_REQUEST, "us", DecisionCost::routerMicrosPerToken);
    }

    private static Frame.Submit submit(long attempt, int workspace) {
        WorkItem work = new WorkItem(
                WorkspaceId.of("workspace-" + workspace),
                ProfileName.of("chat"),
                new SchedulingParameters(2, 30, 100_000, true, Duration.ofSeconds(30), 1),
                TargetName.of(CapacityFixture.MODEL),
                new BackendCall.ModelCall(new byte[2000]),
                500);
        return new Frame.Submit(
                attempt,
                RequestId.of("r" + attempt),
                work,
                Duration.ofSeconds(60),
                Optional.empty(),
                Optional.empty(),
                "",
                0,
                "",
                100);
    }

    private static double agentMicrosPerRequest(int queueLength, int workspaces) {
        CapacityFixture.ManualClock clock = new CapacityFixture.ManualClock();
        CapacityFixture.CountingAgentPort port = new CapacityFixture.CountingAgentPort();
        AgentCore core = AgentCore.create(
                CapacityFixture.serverId(0),
                1,
                AgentOptions.defaults()
                        .withQueue(100_000, 1L << 32)
                        .withConcurrency(new AgentOptions.ConcurrencyPolicy.Adaptive(16, 16)),
                clock,
                port,
                InvariantMonitor.strict());
        core.onRouterConnected(ROUTER);
        int attempt = 0;
        while (attempt < queueLength + 16) {
            core.onFrame(ROUTER, submit(attempt, attempt % workspaces));
            attempt++;
        }
        long cpuBeforeNanos = ResourceProbe.ownCpuNanos();
        for (int i = 0; i < REQUESTS; i++) {
            core.onFrame(ROUTER, submit(attempt, attempt % workspaces));
            attempt++;
            Run oldest = port.started.get(i);
            core.onCompleted(oldest.id(), "stop");
        }
        return (ResourceProbe.ownCpuNanos() - cpuBeforeNanos) / 1e3 / REQUESTS;
    }

    private static RouterCore routerCore(
            CapacityFixture.ManualClock clock, CapacityFixture.CountingRouterPort port, int servers, int workspaces) {
        RouterCore core = RouterCore.create(
                ROUTER,
                RouterOptions.defaults(FailureDomain.of("domain-0")).withMaxLinksPerTarget(servers),
                clock,
                new Random(1),
                port,
                InvariantMonitor.strict());
        core.applyConfig(CapacityFixture.config(servers, workspaces));
        for (int i = 0; i < servers; i++) {
            core.onLinkUp(CapacityFixture.serverId(i), i);
            core.onFrame(CapacityFixture.serverId(i), new Frame.LoadReport(CapacityFixture.agentLoad()));
        }
        return core;
    }

    private static double routerMicrosPerRequest(int servers, int workspaces) {
        CapacityFixture.ManualClock clock = new CapacityFixture.ManualClock();
        CapacityFixture.CountingRouterPort port = new CapacityFixture.CountingRouterPort();
        RouterCore core = routerCore(clock, port, servers, workspaces);
        long cpuBeforeNanos = ResourceProbe.ownCpuNanos();
        for (int i = 0; i < REQUESTS; i++) {
            core.onRequest(CapacityFixture.incomingRequest(i, i % workspaces));
            Frame.Submit submit = port.submits.get(i);
            core.onFrame(port.lastServer, new Frame.Done(submit.attempt(), 0, "stop", CapacityFixture.agentLoad()));
        }
        return (ResourceProbe.ownCpuNanos() - cpuBeforeNanos) / 1e3 / REQUESTS;
    }

    private static double routerMicrosPerToken() {
        CapacityFixture.ManualClock clock = new CapacityFixture.ManualClock();
        CapacityFixture.CountingRouterPort port = new CapacityFixture.CountingRouterPort();
        RouterCore core = routerCore(clock, port, 1, 10);
        byte[] data = " token".getBytes(java.nio.charset.StandardCharsets.UTF_8);
        int requests = 200;
        for (int i = 0; i < requests; i++) {
            core.onRequest(CapacityFixture.incomingRequest(i, 0));
        }
        long cpuBeforeNanos = ResourceProbe.ownCpuNanos();
        for (int token = 0; token < TOKENS_PER_REQUEST; token++) {
            for (int i = 0; i < requests; i++) {
                core.onFrame(
                        CapacityFixture.serverId(0),
                        new Frame.Chunk(port.submits.get(i).attempt(), token, 1, data));
            }
        }
        return (ResourceProbe.ownCpuNanos() - cpuBeforeNanos) / 1e3 / requests / TOKENS_PER_REQUEST;
    }
}
