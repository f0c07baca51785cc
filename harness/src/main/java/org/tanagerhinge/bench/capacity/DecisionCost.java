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

/** Processor time of the decisions for one request against queue length, workspaces and linked servers. */
final class DecisionCost {
    private static final int REQUESTS = 3000;
    private static final int TOKENS = 200;
    private static final RouterId ROUTER = RouterId.of("router-1", 1);

    private DecisionCost() {}

    static void measure(Capacity capacity) {
        for (int queued : new int[] {10, 100, 1000}) {
            capacity.note(
                    "agent, one request queued and dispatched, queue length", queued, "us", () -> agent(queued, 10));
        }
        for (int workspaces : new int[] {10, 1000, 8300}) {
            capacity.note("agent, one request queued and dispatched, workspaces", workspaces, "us", () -> {
                return agent(1000, workspaces);
            });
        }
        for (int servers : new int[] {10, 24, 200, 750}) {
            capacity.note("router, one request chosen, sent and ended, servers linked", servers, "us", () -> {
                return router(servers, 10);
            });
        }
        capacity.note("router, one request chosen, sent and ended, workspaces", 8300, "us", () -> router(24, 8300));
        capacity.note("router, one token passed on", TOKENS, "us", DecisionCost::tokens);
    }

    private static Frame.Submit submit(long attempt, int workspace) {
        WorkItem work = new WorkItem(
                WorkspaceId.of("workspace-" + workspace),
                ProfileName.of("chat"),
                new SchedulingParameters(2, 30, 100_000, true, Duration.ofSeconds(30), 1),
                TargetName.of(Fixture.MODEL),
                new BackendCall.ModelCall(new byte[2000]),
                500);
        return new Frame.Submit(
                attempt, RequestId.of("r" + attempt), work, Duration.ofSeconds(60), Optional.empty(), "", 0, 100);
    }

    private static double agent(int queued, int workspaces) {
        Fixture.HandClock clock = new Fixture.HandClock();
        Fixture.CountingAgentPort port = new Fixture.CountingAgentPort();
        AgentCore core = AgentCore.create(
                Fixture.server(0),
                1,
                AgentOptions.defaults()
                        .withQueue(100_000, 1L << 32)
                        .withConcurrency(new AgentOptions.ConcurrencyPolicy.Adaptive(16, 16)),
                clock,
                port,
                InvariantMonitor.strict());
        core.onRouterConnected(ROUTER);
        int attempt = 0;
        while (attempt < queued + 16) {
            core.onFrame(ROUTER, submit(attempt, attempt % workspaces));
            attempt++;
        }
        long cpu = Probe.ownCpuNanos();
        for (int i = 0; i < REQUESTS; i++) {
            core.onFrame(ROUTER, submit(attempt, attempt % workspaces));
            attempt++;
            Run oldest = port.started.get(i);
            core.onCompleted(oldest.id(), "stop");
        }
        return (Probe.ownCpuNanos() - cpu) / 1e3 / REQUESTS;
    }

    private static RouterCore routerCore(
            Fixture.HandClock clock, Fixture.CountingRouterPort port, int servers, int customers) {
        RouterCore core = RouterCore.create(
                ROUTER,
                RouterOptions.defaults(FailureDomain.of("domain-0")).withMaxLinksPerTarget(servers),
                clock,
                new Random(1),
                port,
                InvariantMonitor.strict());
        core.applyConfig(Fixture.config(servers, customers));
        for (int i = 0; i < servers; i++) {
            core.onLinkUp(Fixture.server(i), i);
            core.onFrame(Fixture.server(i), new Frame.LoadReport(Fixture.load()));
        }
        return core;
    }

    private static double router(int servers, int workspaces) {
        Fixture.HandClock clock = new Fixture.HandClock();
        Fixture.CountingRouterPort port = new Fixture.CountingRouterPort();
        RouterCore core = routerCore(clock, port, servers, workspaces);
        long cpu = Probe.ownCpuNanos();
        for (int i = 0; i < REQUESTS; i++) {
            core.onRequest(Fixture.arrival(i, i % workspaces));
            Frame.Submit submit = port.submits.get(i);
            core.onFrame(port.lastServer, new Frame.Done(submit.attempt(), 0, "stop", Fixture.load()));
        }
        return (Probe.ownCpuNanos() - cpu) / 1e3 / REQUESTS;
    }

    private static double tokens() {
        Fixture.HandClock clock = new Fixture.HandClock();
        Fixture.CountingRouterPort port = new Fixture.CountingRouterPort();
        RouterCore core = routerCore(clock, port, 1, 10);
        byte[] data = " token".getBytes(java.nio.charset.StandardCharsets.UTF_8);
        int requests = 200;
        for (int i = 0; i < requests; i++) {
            core.onRequest(Fixture.arrival(i, 0));
        }
        long cpu = Probe.ownCpuNanos();
        for (int token = 0; token < TOKENS; token++) {
            for (int i = 0; i < requests; i++) {
                core.onFrame(
                        Fixture.server(0), new Frame.Chunk(port.submits.get(i).attempt(), token, 1, data));
            }
        }
        return (Probe.ownCpuNanos() - cpu) / 1e3 / requests / TOKENS;
    }
}
