package org.tanagerhinge.bench.capacity;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.tanagerhinge.core.relay.PromptAwarePlacement;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.gateway.GatewayOptions;
import org.tanagerhinge.node.log.LogSetup;
import org.tanagerhinge.node.log.RequestLines;
import org.tanagerhinge.platform.PlatformGateway;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.FreePorts;
import org.tanagerhinge.standin.relay.PlatformFixture;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/**
 * Measures the CPU time and latency of a gateway request with request logging, without it, and with a blocked log
 * reader.
 *
 * <p>The three modes alternate within one run, which reduces the effect of other load on the machine.
 */
public final class LogCost {
    private static final int ROUND_COUNT = 12;
    private static final int REQUESTS_PER_ROUND = 150;
    private static final int EVENTS_PER_STREAM = 40;

    private final Map<Mode, List<Double>> cpuMicros = new EnumMap<>(Mode.class);
    private final Map<Mode, List<Double>> latencyMillis = new EnumMap<>(Mode.class);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private LogCost() {}

    private enum Mode {
        WITH,
        WITHOUT,
        READER_STOPPED
    }

    /** Blocks all writes until it is closed. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch closed = new CountDownLatch(1);

        @Override
        public void write(int b) throws IOException {
            try {
                closed.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        @Override
        public void write(byte[] bytes, int from, int length) throws IOException {
            write(0);
        }

        @Override
        public void close() {
            closed.countDown();
        }
    }

    /** Runs the measurement and prints the results. */
    public static int run() throws IOException {
        new LogCost().measure();
        return 0;
    }

    private void measure() throws IOException {
        try (StoreStandin store = StoreStandin.start(0);
                ServerStandin engine = ServerStandin.start("e-1", ServerStandin.events(EVENTS_PER_STREAM, 0))) {
            PlatformFixture scene = PlatformFixture.in(store);
            scene.host("127.0.0.1");
            scene.service("model", 8);
            scene.route("/stream/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
            scene.workspace("coop", "key-1");
            scene.register(engine, "model", "ready");
            scene.publish();
            InetSocketAddress listenAddress = FreePorts.address();
            GatewayDaemon gateway = PlatformGateway.start(
                    new GatewayOptions(
                            "gateway-0",
                            "north",
                            listenAddress,
                            FreePorts.address(),
                            Optional.empty(),
                            FreePorts.address(),
                            new GatewayOptions.Bounds(Duration.ofSeconds(8), 0.2, 50, Duration.ofSeconds(10)),
                            GatewayOptions.Limits.DEFAULT,
                            true,
                            Optional.empty(),
                            Set.of()),
                    PromptAwarePlacement.create(),
                    store.address());
            while (!gateway.ready()) {
                Thread.onSpinWait();
            }
            for (int round = 0; round < ROUND_COUNT; round++) {
                for (Mode mode : Mode.values()) {
                    measureRound(mode, listenAddress.getPort(), round > 1);
                }
            }
            gateway.close();
        }
        print();
    }

    private void measureRound(Mode mode, int port, boolean recorded) throws IOException {
        LogSetup.setRequestLines(mode == Mode.WITHOUT ? RequestLines.NONE : RequestLines.ALL);
        try (BlockedStream blocked = new BlockedStream()) {
            AutoCloseable copy = mode == Mode.READER_STOPPED ? LogSetup.copyTo(blocked) : () -> {};
            long cpuBeforeNanos = cpuNanos();
            for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
                long startNanos = System.nanoTime();
                send(port, "attempt-" + i);
                if (recorded) {
                    latencyMillis
                            .computeIfAbsent(mode, key -> new ArrayList<>())
                            .add((System.nanoTime() - startNanos) / 1e6);
                }
            }
            if (recorded) {
                cpuMicros
                        .computeIfAbsent(mode, key -> new ArrayList<>())
                        .add((cpuNanos() - cpuBeforeNanos) / 1e3 / REQUESTS_PER_ROUND);
            }
            blocked.close();
            copy.close();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    private void send(int port, String id) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/stream/x"))
                .header("Authorization", "Token key-1")
                .header(PlatformNames.ATTEMPT_ID, id)
                .header(PlatformNames.DEADLINE, "4000")
                .header(PlatformNames.TOKEN_COUNT, "900,80")
                .header(PlatformNames.PROMPT_PREFIX, "aa:600,bb:300")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        int status =
                client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status != 200) {
            throw new IOException("status " + status);
        }
    }

    private static long cpuNanos() {
        return ResourceProbe.cpuNanos(name -> name.startsWith("multiThreadIoEventLoopGroup") || name.equals("log"));
    }

    private void print() {
        System.out.println("mode              us of processor time a request      ms a request, median and 99 in 100");
        for (Mode mode : Mode.values()) {
            List<Double> cpuValues = sorted(cpuMicros.get(mode));
            List<Double> latencies = sorted(latencyMillis.get(mode));
            System.out.println(String.format(
                    Locale.ROOT,
                    "%-16s %7.1f (%.1f to %.1f) %27.2f %.2f",
                    mode.name().toLowerCase(Locale.ROOT),
                    cpuValues.get(cpuValues.size() / 2),
                    cpuValues.get(0),
                    cpuValues.get(cpuValues.size() - 1),
                    latencies.get(latencies.size() / 2),
                    latencies.get(latencies.size() * 99 / 100)));
        }
    }

    private static List<Double> sorted(List<Double> values) {
        return values.stream().sorted().toList();
    }
}
