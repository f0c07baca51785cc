package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.bench.retry.ArrivalRecord;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against retries beyond the shared budget while servers fail and all gateways are restarted again and again. */
class RetriesWhileGatewaysRestartTest {
    private static final int GATEWAYS = 4;
    private static final int CALLERS = 12;
    private static final long REQUEST_GAP_MILLIS = 200;
    private static final long CALM_MILLIS = 1_500;
    private static final int RESTARTS = 5;
    private static final long RESTART_GAP_MILLIS = 1_200;
    private static final long WINDOW_MILLIS = 10_000;
    private static final long RECORDED_MILLIS = 60_000;

    private final ArrivalRecord record =
            ArrivalRecord.of(RelayScene.RETRY_RATIO, RelayScene.RETRY_SLACK, WINDOW_MILLIS, RECORDED_MILLIS);
    private final Set<String> arrived = ConcurrentHashMap.newKeySet();
    private final List<GatewayDaemon> gateways = new CopyOnWriteArrayList<>();
    private final long startNanos = System.nanoTime();
    private RelayScene scene;
    private volatile boolean over;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.route("/safe/", "safe", "plain").put(PlatformNames.MAX_ATTEMPTS, 3);
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        scene.server("s-0", "plain", recording(ServerStandin.plain(200, "ok")));
        scene.server("s-1", "plain", recording(ServerStandin.plain(500, "")));
        scene.server("s-2", "plain", recording((server, request, connection) -> connection.reset()));
        for (int i = 3; i < 6; i++) {
            scene.server("s-" + i, "plain", recording(ServerStandin.refusing()));
        }
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private ServerStandin.ResponseScript recording(ServerStandin.ResponseScript script) {
        return (server, request, connection) -> {
            arrived(request);
            script.answer(server, request, connection);
        };
    }

    private void arrived(RawServer.Request request) {
        if (!arrived.add(request.header(PlatformNames.ATTEMPT_ID))) {
            record.retryArrived(millis());
        }
    }

    private void call(int caller) {
        for (int i = 0; !over; i++) {
            record.requestSent(millis());
            GatewayDaemon gateway = gateways.get(i % GATEWAYS);
            try (RawCaller connection = RawCaller.to(gateway.address())) {
                connection.exchange(RawCaller.request("GET", "/safe/" + i, caller + "-" + i, "", ""));
            } catch (IOException e) {
                // The gateway has been closed.
            }
            RelayScene.sleep(REQUEST_GAP_MILLIS);
        }
    }

    private void startGateway(int index) throws IOException {
        GatewayDaemon gateway = scene.start("gateway-" + index, scene.store.address());
        if (index < gateways.size()) {
            gateways.set(index, gateway);
        } else {
            gateways.add(gateway);
        }
    }

    @Test
    void retriesOfAllLivesOfAllGatewaysStayWithinTheBudget() throws IOException, InterruptedException {
        for (int i = 0; i < GATEWAYS; i++) {
            startGateway(i);
        }
        gateways.forEach(gateway -> RelayScene.await(() -> gateway.peersPresent() == GATEWAYS - 1));
        List<Thread> callers = IntStream.range(0, CALLERS)
                .mapToObj(caller -> Thread.ofVirtual().start(() -> call(caller)))
                .toList();
        Thread.sleep(CALM_MILLIS);
        assertTrue(record.retries() > 0, "retries are made before any restart");
        for (int restart = 0; restart < RESTARTS; restart++) {
            for (int i = 0; i < GATEWAYS; i++) {
                scene.stop(gateways.get(i));
                startGateway(i);
            }
            Thread.sleep(RESTART_GAP_MILLIS);
        }
        over = true;
        for (Thread caller : callers) {
            caller.join();
        }
        System.out.println(record.worst());
        assertFalse(record.worst().exceeded(), () -> record.worst().toString());
    }
}
