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
import org.tanagerhinge.standin.load.LoadClass;
import org.tanagerhinge.standin.load.LoadGenerator;

/** Measures the heap of open requests and of the configuration, and the CPU time per token of real daemons by role. */
final class StreamCost {
    private static final int OPEN_REQUESTS = 5000;
    private static final Duration LOAD_DURATION = Duration.ofSeconds(10);

    private StreamCost() {}

    static void measure(CapacityMeasurement capacity) throws TanagerhingeException {
        capacity.measureAndRecord(
                "router heap of an open request, 2 KB body", OPEN_REQUESTS, "KB", StreamCost::heapKilobytesPerRequest);
        for (int workspaces : new int[] {10, 8300}) {
            capacity.measureAndRecord("heap of the configuration, 750 servers, workspaces", workspaces, "KB", () -> {
                return configHeapKilobytes(workspaces);
            });
        }
        measureDaemons(capacity);
    }

    private static double heapKilobytesPerRequest() {
        CapacityFixture.CountingRouterPort port = new CapacityFixture.CountingRouterPort();
        RouterCore core = RouterCore.create(
                RouterId.of("router-1", 1),
                RouterOptions.defaults(FailureDomain.of("domain-0")),
                new CapacityFixture.ManualClock(),
                new Random(1),
                port,
                InvariantMonitor.strict());
        core.applyConfig(CapacityFixture.config(10, 10));
        for (int i = 0; i < 10; i++) {
            core.onLinkUp(CapacityFixture.serverId(i), i);
        }
        long bytesBefore = ResourceProbe.heapBytes();
        for (int i = 0; i < OPEN_REQUESTS; i++) {
            core.onRequest(CapacityFixture.incomingRequest(i, i % 10));
        }
        port.submits.clear();
        long bytesAfter = ResourceProbe.heapBytes();
        if (core.inFlight() != OPEN_REQUESTS) {
            throw new IllegalStateException("only " + core.inFlight() + " requests are open");
        }
        return (bytesAfter - bytesBefore) / 1000.0 / OPEN_REQUESTS;
    }

    private static double configHeapKilobytes(int workspaces) {
        long bytesBefore = ResourceProbe.heapBytes();
        ClusterConfig config = CapacityFixture.config(750, workspaces);
        long bytesAfter = ResourceProbe.heapBytes();
        if (config.servers().servers().size() != 750) {
            throw new IllegalStateException("the configuration does not have 750 servers");
        }
        return (bytesAfter - bytesBefore) / 1000.0;
    }

    /** Measures CPU time per token of 2 routers and 4 agents under a steady load; threads are assigned by name. */
    private static void measureDaemons(CapacityMeasurement capacity) throws TanagerhingeException {
        HttpClient client = HttpClients.started("load");
        EngineModel engineModel = new EngineModel(8, 0.1, 50, 64, 200_000, 40_000, 40, 0.5, 400);
        try (LocalCluster cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT)) {
            cluster.profiles(CapacityFixture.config(1, 10).profiles());
            for (int i = 0; i < 4; i++) {
                cluster.engine("engine-" + i, "domain-" + i, engineModel);
            }
            cluster.router("router-0", "domain-0")
                    .router("router-1", "domain-1")
                    .awaitReady();
            runLoad(client, cluster, 2);
            long routerNanosBefore = routerCpuNanos();
            long agentNanosBefore = agentCpuNanos();
            long tokensBefore = cluster.tokens();
            runLoad(client, cluster, 3);
            double tokens = cluster.tokens() - tokensBefore;
            capacity.record(
                    "tokens a second carried by 2 routers and 4 agents",
                    6,
                    "tokens/s",
                    tokens / LOAD_DURATION.toSeconds());
            capacity.record(
                    "router processor time a token, relay and HTTP included",
                    2,
                    "us",
                    (routerCpuNanos() - routerNanosBefore) / 1e3 / tokens);
            capacity.record(
                    "agent processor time a token, engine's HTTP included",
                    4,
                    "us",
                    (agentCpuNanos() - agentNanosBefore) / 1e3 / tokens);
        }
    }

    private static void runLoad(HttpClient client, LocalCluster cluster, long seed) {
        LoadClass chat = new LoadClass(
                "chat",
                "",
                LocalCluster.MODEL,
                List.of(new LoadClass.Rate(Duration.ZERO, 80)),
                List.of(new Caller("workspace-0", CapacityFixture.apiKey(0), 1)),
                1000,
                60,
                0.5,
                400,
                false,
                true,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ofSeconds(30));
        try (LoadGenerator generator = LoadGenerator.of(client, cluster.routerUrls(), List.of(chat), seed)) {
            generator.run(LOAD_DURATION);
        }
    }

    private static long routerCpuNanos() {
        return ResourceProbe.cpuNanos(name -> name.startsWith("control-router")
                || name.startsWith("net-router")
                || name.startsWith("traffic-")
                || name.startsWith("http"));
    }

    private static long agentCpuNanos() {
        return ResourceProbe.cpuNanos(name ->
                name.startsWith("control-engine") || name.startsWith("net-engine") || name.startsWith("cluster"));
    }
}
