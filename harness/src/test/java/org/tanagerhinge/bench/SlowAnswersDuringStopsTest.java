package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.standin.Answers;
import org.tanagerhinge.standin.EngineModel;

/** Answers whose tokens are far apart, while routers and agents are stopped and started again. */
class SlowAnswersDuringStopsTest {
    private static final int CALLERS = 12;
    private static final int TOKENS = 4;
    private static final double TOKEN_GAP_MILLIS = 1_500;
    private static final List<String> PROFILES = List.of("chat", "card", "status");

    private final Queue<String> lost = new ConcurrentLinkedQueue<>();
    private final Queue<String> unsafeMessages = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicBoolean done = new AtomicBoolean();
    private LocalCluster cluster;
    private List<String> urls;

    @BeforeEach
    void setUp() throws Exception {
        EngineModel model = new EngineModel(TOKEN_GAP_MILLIS, 0, 20, 24, 60_000, 40_000, TOKENS, 0, TOKENS);
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT)
                .profiles(Callers.profiles())
                .engine("engine-1", "kita", model)
                .engine("engine-2", "chuo", model)
                .service("service-1", "kita", CALLERS, (long) TOKEN_GAP_MILLIS)
                .service("service-2", "chuo", CALLERS, (long) TOKEN_GAP_MILLIS)
                .router("router-1", "kita")
                .router("router-2", "chuo")
                .awaitReady();
        urls = cluster.routerUrls();
    }

    @AfterEach
    void tearDown() {
        assertEquals(0, cluster.violations());
        cluster.close();
    }

    /** Guards against stops that end an answer because its engine is silent for longer than the stop's own timeouts. */
    @Test
    void everyCallThatWasAcceptedGetsItsWholeAnswer() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                threads.execute(() -> call(caller));
            }
            try {
                Thread.sleep(2_000);
                restart(threads, "router-1", "engine-1", "service-1");
                restart(threads, "router-2", "engine-2", "service-2");
            } finally {
                done.set(true);
            }
        }
        assertEquals(List.of(), List.copyOf(lost));
        assertTrue(answered.get() >= CALLERS);
        Map<String, Integer> runs = cluster.runs();
        unsafeMessages.forEach(message ->
                assertTrue(runs.getOrDefault(Answers.mark(message), 0) <= 1, () -> message + " ran more than once"));
    }

    /** Stops a router and agents at the same time, as SIGTERM does, and starts them again. */
    private void restart(ExecutorService threads, String router, String... agents) throws Exception {
        List<Future<?>> stops = new ArrayList<>();
        stops.add(threads.submit(() -> cluster.router(router, "kita", cluster.stopRouter(router))));
        for (String agent : agents) {
            stops.add(threads.submit(() -> {
                cluster.startAgent(agent, cluster.stopAgent(agent));
                return null;
            }));
        }
        for (Future<?> stop : stops) {
            stop.get();
        }
        cluster.awaitReady();
    }

    private void call(int caller) {
        for (int number = 0; !done.get(); number++) {
            String profile = PROFILES.get((caller + number) % PROFILES.size());
            String message = profile + " " + caller + " " + number + " [length " + TOKENS + "]";
            try {
                record(profile, message, send(urls.get((caller + number) % urls.size()), profile, message));
            } catch (ExecutionException e) {
                // A router that has stopped doesn't listen until it is started again.
                if (!(e.getCause() instanceof ConnectException)) {
                    lost.add(message + ": " + e);
                }
            } catch (Exception e) {
                lost.add(message + ": " + e);
            }
        }
    }

    private ContentResponse send(String url, String profile, String message) throws Exception {
        Map<String, String> headers = Map.of("Idempotency-Key", message, "Connection", "close");
        if (profile.equals("status")) {
            String path = url + "/v1/services/jobs/" + message.replaceAll("[^a-z0-9]", "-");
            return Callers.post(cluster.http(), path, profile, "{}", headers).send();
        }
        if (profile.equals("card")) {
            unsafeMessages.add(message);
        }
        return Callers.post(
                        cluster.http(),
                        url + "/v1/chat/completions",
                        profile,
                        Callers.completion(message, true),
                        headers)
                .send();
    }

    private void record(String profile, String message, ContentResponse response) throws InterruptedException {
        String body = response.getContentAsString();
        boolean notRun = response.getStatus() >= 429 && body.contains("\"run\":\"not_run\"");
        if (notRun) {
            Thread.sleep(100);
        } else if (response.getStatus() == 200 && whole(profile, message, response)) {
            answered.incrementAndGet();
        } else {
            lost.add(message + ": " + response.getStatus() + " " + body);
        }
    }

    private static boolean whole(String profile, String message, ContentResponse response) {
        return profile.equals("status")
                ? response.getContentAsString().endsWith(" 1\n")
                : Answers.check(message, Callers.text(response)) == Answers.Verdict.WHOLE;
    }
}
