package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against sound requests that are refused for long since servers crashed by another cause while they ran them. */
class HeldByMistakeTest {
    private static final int SERVERS = 3;
    private static final List<String> SYSTEM = List.of("system");
    /** Longer than a sound run excludes its parts, and than the delay of a trial. */
    private static final long LONG_MILLIS = 5_500;

    private static final Duration SEND_INTERVAL = Duration.ofMillis(20);

    private final CountDownLatch completed = new CountDownLatch(1);
    private RelayScene scene;
    private GatewayDaemon gateway;

    @BeforeEach
    void setUp() throws IOException {
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.service("model", 8);
        scene.platform.route("/safe/", "safe", "plain").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.route("/ask/", "streaming", "model").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        gateway = scene.gateway();
    }

    @AfterEach
    void tearDown() {
        completed.countDown();
        scene.close();
    }

    /** Returns a script whose server never answers. */
    private static ServerStandin.ResponseScript silent() {
        return (server, request, connection) -> {
            while (!server.closed()) {
                Thread.sleep(10);
            }
        };
    }

    private List<ServerStandin> servers(String name, String service, ServerStandin.ResponseScript script) {
        List<ServerStandin> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(scene.server(name + i, service, script));
        }
        return servers;
    }

    /** Sends requests until each server runs one that it has not answered. */
    private static void occupy(List<ServerStandin> servers, Runnable caller) {
        List<Integer> before =
                servers.stream().map(server -> server.receivedRequests().size()).toList();
        for (int i = 0; i < servers.size(); i++) {
            int index = i;
            RelayScene.await(
                    () -> {
                        Thread.ofVirtual().start(caller);
                        return servers.get(index).receivedRequests().size() > before.get(index);
                    },
                    SEND_INTERVAL);
        }
    }

    private void crash(List<ServerStandin> servers) {
        servers.forEach(ServerStandin::close);
        servers.forEach(scene.platform::unregister);
    }

    private int askForStatus() {
        return RelayScene.status(gateway, "/safe/status");
    }

    private boolean askWithSystemPrompt() {
        return PromptCaller.begins(gateway, SYSTEM, "");
    }

    private long count(String reason) {
        return gateway.metrics()
                .text()
                .lines()
                .filter(line -> line.contains("reason=\"" + reason + "\""))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    @Test
    void promptPartIsServedAlthoughItsTrialFellIntoATimeWithoutServers() {
        ServerStandin first = scene.server("first", "model", ServerStandin.events(2, 1));
        RelayScene.await(this::askWithSystemPrompt);
        RelayScene.sleep(LONG_MILLIS);
        crash(List.of(first));
        for (int i = 0; i < SERVERS; i++) {
            List<ServerStandin> crashing = List.of(scene.server("crashing" + i, "model", silent()));
            occupy(crashing, this::askWithSystemPrompt);
            crash(crashing);
        }
        RelayScene.await(() -> count("part_held") > 0);
        RelayScene.sleep(LONG_MILLIS);
        assertFalse(askWithSystemPrompt(), "there is no server");
        servers("second", "model", ServerStandin.events(2, 1));
        RelayScene.await(this::askWithSystemPrompt);
    }

    @Test
    void requestIsServedAfterAllServersThatRanItHaveCrashedAtOnce() {
        List<ServerStandin> servers = servers("first", "plain", silent());
        occupy(servers, this::askForStatus);
        crash(servers);
        RelayScene.await(() -> count("request_held") > 0);
        servers("second", "plain", ServerStandin.plain(200, "sound"));
        RelayScene.await(() -> askForStatus() == 200);
        RelayScene.await(() -> count("suspicion_cleared") > 0);
        assertEquals(200, askForStatus());
        assertEquals(1, count("request_tried"));
    }

    /** Guards against gateways that start later and refuse a request that a completed run has cleared. */
    @Test
    void requestThatACompletedRunClearsIsNotKeptInTheStore() {
        ServerStandin sound = scene.server("sound", "plain", (server, request, connection) -> {
            completed.await();
            ServerStandin.plain(200, "sound").answer(server, request, connection);
        });
        List<ServerStandin> servers = new ArrayList<>(servers("first", "plain", silent()));
        servers.add(sound);
        occupy(servers, this::askForStatus);
        servers.remove(sound);
        servers.forEach(ServerStandin::close);
        RelayScene.await(() -> !scene.store.keys("held/").isEmpty());
        completed.countDown();
        RelayScene.await(() -> scene.store.keys("held/").isEmpty());
        assertTrue(count("suspicion_cleared") > 0);
    }
}
