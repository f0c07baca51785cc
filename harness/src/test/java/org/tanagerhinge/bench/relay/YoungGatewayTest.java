package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against gateways that have just started and send large requests to engines that their peers know to be full. */
class YoungGatewayTest {
    private static final int LARGE_TOKENS = 5_000;
    private static final int HELD_REQUESTS = 10;
    private static final int MEASURED_REQUESTS = 8;
    private static final long PREFILL_MILLIS = 100;
    private static final int ANSWER_MILLIS = 2_000;
    private static final String HELD = "held";

    private final AtomicInteger nextId = new AtomicInteger();
    private final List<RawCaller> waiting = new ArrayList<>();
    private RelayScene scene;
    private ServerStandin engine;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("model", 16);
        scene.platform.route("/ask/", "streaming", "model").put("priority", 0);
        scene.platform.route("/plan/", "streaming", "model").put("priority", 1);
        scene.platform.publish();
        engine = scene.server("e-1", "model", (server, request, connection) -> {
            if (request.path().contains(HELD)) {
                Thread.sleep(10L * ANSWER_MILLIS);
            }
            Thread.sleep(PREFILL_MILLIS);
            ServerStandin.events(2, 1).answer(server, request, connection);
        });
    }

    @AfterEach
    void tearDown() throws IOException {
        for (RawCaller caller : waiting) {
            caller.close();
        }
        scene.close();
    }

    private String request(String path) {
        int id = nextId.getAndIncrement();
        return RawCaller.request(
                "POST",
                path + id,
                "attempt-" + id,
                PlatformNames.MODEL + ": m\r\n" + PlatformNames.TOKEN_COUNT + ": " + LARGE_TOKENS + ",10\r\n"
                        + PlatformNames.PROMPT_PREFIX + ": " + Integer.toHexString(0x1000000 + id) + ":" + LARGE_TOKENS
                        + "\r\n",
                "{}");
    }

    /** Returns the status of the answer, or 0 if the request is still waiting after some time. */
    private int status(GatewayDaemon gateway, String path) throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address(), ANSWER_MILLIS)) {
            return caller.exchange(request(path)).status();
        } catch (SocketTimeoutException e) {
            return 0;
        }
    }

    @Test
    void gatewayThatHasJustStartedRefusesLargeRequestsThatItsPeersRefuse() throws IOException {
        GatewayDaemon old = scene.gateway();
        for (int i = 0; i < MEASURED_REQUESTS; i++) {
            assertEquals(200, status(old, "/plan/"));
        }
        for (int i = 0; i < HELD_REQUESTS; i++) {
            RawCaller caller = RawCaller.to(old.address(), ANSWER_MILLIS);
            waiting.add(caller);
            caller.send(request("/ask/" + HELD + "/"));
        }
        RelayScene.await(() -> engine.receivedRequests().size() == MEASURED_REQUESTS + HELD_REQUESTS);
        assertEquals(503, status(old, "/plan/"), "the gateway that knows the engine's rate");
        GatewayDaemon young = scene.gateway();
        RelayScene.await(() -> young.peersPresent() == 1 && old.peersPresent() == 1);
        assertEquals(503, status(young, "/plan/" + HELD + "/"), "the gateway that has just started");
    }
}
