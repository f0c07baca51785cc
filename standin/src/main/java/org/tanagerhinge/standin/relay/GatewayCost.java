package org.tanagerhinge.standin.relay;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Measures the processor time of a gateway process: until it is ready, for its first requests, and per later request.
 *
 * <p>The gateway runs as it is deployed, with a peer; both are started by the script that runs this command. Processor
 * time is read from {@code /proc}, with a resolution of 10 ms; nothing is throttled.
 */
@Command(name = "cost", description = "Measures the processor time of a gateway process, cold and warm")
public final class GatewayCost implements Runnable {
    private static final int COLD_REQUESTS = 50;
    private static final int DEFAULT_WARM_REQUESTS = 5_000;
    private static final int CALLERS = 8;
    private static final int EVENTS = 20;
    private static final long EVENT_GAP_MILLIS = 3;
    /** Number of distinct prompt prefixes shared by requests, so that placement has a choice. */
    private static final int SHARED_PREFIXES = 200;

    private static final double TICK_MILLIS = 10;
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;

    @Option(name = "--settings", description = "Settings file to write for the gateway")
    @Required
    private String settings;

    @Option(name = "--peer-settings", description = "Settings file to write for its peer")
    @Required
    private String peerSettings;

    @Option(name = "--process", description = "File in which the script writes the gateway's process id")
    @Required
    private String process;

    @Option(
            name = "--requests",
            description = "Requests after the first " + COLD_REQUESTS + " (" + DEFAULT_WARM_REQUESTS + ")")
    private int requests = DEFAULT_WARM_REQUESTS;

    private final AtomicInteger failed = new AtomicInteger();

    @Override
    public void run() {
        try (GatewayFixture scene = GatewayFixture.open();
                ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
            for (int i = 0; i < 4; i++) {
                scene.server("s-" + i, "plain", ServerStandin.plain(200, "body"));
            }
            for (int i = 0; i < 8; i++) {
                scene.server("e-" + i, "model", ServerStandin.events(EVENTS, EVENT_GAP_MILLIS));
            }
            scene.publish();
            scene.awaitReady(scene.settings(Path.of(peerSettings), "a-peer"));
            GatewayFixture.Ports gateway = scene.settings(Path.of(settings), "gateway");
            scene.awaitReady(gateway);
            Path account = Path.of("/proc", processId(), "stat");
            double ready = processorMillis(account);
            send(scene, gateway, callers, 0, COLD_REQUESTS);
            double first = processorMillis(account);
            send(scene, gateway, callers, COLD_REQUESTS, COLD_REQUESTS + requests);
            double after = processorMillis(account);
            System.out.println(String.format(
                    Locale.ROOT,
                    "until ready %.0f ms, first %d requests %.1f ms each, next %d requests %.2f ms each; %d failed",
                    ready,
                    COLD_REQUESTS,
                    (first - ready) / COLD_REQUESTS,
                    requests,
                    (after - first) / requests,
                    failed.get()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String processId() throws IOException, InterruptedException {
        while (true) {
            try {
                String id = Files.readString(Path.of(process)).strip();
                if (!id.isEmpty()) {
                    return id;
                }
            } catch (NoSuchFileException e) {
                // The script has not written it yet.
            }
            Thread.sleep(5);
        }
    }

    private static double processorMillis(Path account) throws IOException {
        String text = Files.readString(account);
        String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
        return TICK_MILLIS * (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]));
    }

    private void send(GatewayFixture scene, GatewayFixture.Ports ports, ExecutorService callers, int from, int to)
            throws InterruptedException {
        AtomicInteger next = new AtomicInteger(from);
        List<Future<?>> ends = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            ends.add(callers.submit(() -> {
                for (int request = next.getAndIncrement(); request < to; request = next.getAndIncrement()) {
                    if (sendOne(scene, ports, request) != 200) {
                        failed.incrementAndGet();
                    }
                }
                return null;
            }));
        }
        for (Future<?> end : ends) {
            try {
                end.get();
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static int sendOne(GatewayFixture scene, GatewayFixture.Ports ports, int request)
            throws InterruptedException {
        String path = request % 4 == 3 ? "/plain/" : "/stream/";
        int prefixNumber = request * 31 % SHARED_PREFIXES;
        String parts = "aa:1000,t" + prefixNumber + ":1500,own" + request + ":500";
        return scene.send(ports, path + request, "attempt-" + request, parts);
    }
}
