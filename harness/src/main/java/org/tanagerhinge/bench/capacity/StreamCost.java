package org.tanagerhinge.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.eclipse.jetty.client.HttpClient;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.core.router.RouterCore;
import org.tanagerhinge.core.router.RouterOptions;
import org.tanagerhinge.node.daemon.HttpClients;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.load.Caller;
import org.tanagerhinge.standin.load.Load;
import org.tanagerhinge.standin.load.LoadClass;

/** Heap of open requests and configuration, and processor time a token with real daemons, by role. */
final class StreamCost {
    private static final int STREAMS = 5000;
    private static final Duration LENGTH = Duration.ofSeconds(10);

    private StreamCost() {}

    static void measure(Capacity capacity) throws TanagerhingeException {
        capacity.note("router heap of an open request, 2 KB body", STREAMS, "KB", StreamCost::heapPerRequest);
        for (int workspaces : new int[] {10, 8300}) {
            capacity.note("heap of the configuration, 750 servers, workspaces", workspaces, "KB", () -> {
                return heapOfConfig(workspaces);
            });
        }
        daemons(capacity);
    }

    private static double heapPerRequest() {
        Fixture.CountingRouterPort port = new Fixture.CountingRouterPort();
        RouterCore core = RouterCore.create(
                RouterId.of("router-1", 1),
                RouterOptions.defaults(FailureDomain.of("domain-0")),
                new Fixture.HandClock(),
                new Random(1),
                port,
                InvariantMonitor.strict());
        core.applyConfig(Fixture.config(10, 10));
        for (int i = 0; i < 10; i++) {
            core.onLinkUp(Fixture.server(i), i);
        }
        long before = Probe.heapBytes();
        for (int i = 0; i < STREAMS; i++) {
            core.onRequest(Fixture.arrival(i, i % 10));
        }
        port.submits.clear();
        long after = Probe.heapBytes();
        if (core.inFlight() != STREAMS) {
            throw new IllegalStateException("only " + core.inFlight() + " requests are open");
        }
        return (after - before) / 1000.0 / STREAMS;
    }

    private static double heapOfConfig(int workspaces) {
        long before = Probe.heapBytes();
        ClusterConfig config = Fixture.config(750, workspaces);
        long after = Probe.heapBytes();
        if (config.servers().servers().size() != 750) {
            throw new IllegalStateException("the configuration is gone");
        }
        return (after - before) / 1000.0;
    }

    /** Real daemons: 2 routers, 4 engines, a steady load of streams; processor time by the names of threads. */
    private static void daemons(Capacity capacity) throws TanagerhingeException {
        HttpClient client = HttpClients.started("load");
        EngineModel fast = new EngineModel(8, 0.1, 50, 64, 200_000, 40_000, 40, 0.5, 400);
        try (LocalCluster cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT)) {
            cluster.profiles(Fixture.config(1, 10).profiles());
            for (int i = 0; i < 4; i++) {
                cluster.engine("engine-" + i, "domain-" + i, fast);
            }
            cluster.router("router-0", "domain-0")
                    .router("router-1", "domain-1")
                    .awaitReady();
            load(client, cluster, 2);
            long routerBefore = routerCpu();
            long agentBefore = agentCpu();
            long tokensBefore = cluster.tokens();
            load(client, cluster, 3);
            double tokens = cluster.tokens() - tokensBefore;
            capacity.record(
                    "tokens a second carried by 2 routers and 4 agents", 6, "tokens/s", tokens / LENGTH.toSeconds());
            capacity.record(
                    "router processor time a token, relay and HTTP included",
                    2,
                    "us",
                    (routerCpu() - routerBefore) / 1e3 / tokens);
            capacity.record(
                    "agent processor time a token, engine's HTTP included",
                    4,
                    "us",
                    (agentCpu() - agentBefore) / 1e3 / tokens);
        }
    }

    private static void load(HttpClient client, LocalCluster cluster, long seed) {
        LoadClass chat = new LoadClass(
                "chat",
                "",
                LocalCluster.MODEL,
                List.of(new LoadClass.Rate(Duration.ZERO, 80)),
                List.of(new Caller("workspace-0", Fixture.key(0), 1)),
                1000,
                60,
                0.5,
                400,
                false,
                true,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ofSeconds(30));
        try (Load load = Load.of(client, cluster.routerUrls(), List.of(chat), seed)) {
            load.run(LENGTH);
        }
    }

    private static long routerCpu() {
        return Probe.cpuNanos(name -> name.startsWith("control-router")
                || name.startsWith("net-router")
                || name.startsWith("traffic-")
                || name.startsWith("http"));
    }

    private static long agentCpu() {
        return Probe.cpuNanos(name ->
                name.startsWith("control-engine") || name.startsWith("net-engine") || name.startsWith("cluster"));
    }
}
