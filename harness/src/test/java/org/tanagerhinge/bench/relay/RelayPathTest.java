package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/** What callers see of the relay when servers answer, fail, lie and break off. */
class RelayPathTest {
    private static final int BACKOFF_SECONDS = 2;

    private RelayScene scene;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.service("model", 8);
        scene.platform.route("/safe/", "safe", "plain");
        scene.platform.route("/once/", "unsafe", "plain").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.route("/stream/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
        scene.platform.route("/ask/", "streaming", "model").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.route("/open/", "safe", "plain").put(PlatformNames.PUBLIC, true);
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private RawCaller.Answer ask(GatewayDaemon gateway, String method, String path, String headers, String body)
            throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request(method, path, "attempt-1", headers, body));
        }
    }

    @Test
    void passesARequestAndItsAnswerOnUnchanged() throws IOException {
        ServerStandin server = scene.server("s-1", "plain", ServerStandin.plain(200, "the body"));
        GatewayDaemon gateway = scene.gateway();
        RawCaller.Answer answer = ask(gateway, "POST", "/safe/a%20b?x=1", "X-Other: kept\r\n", "{\"n\": 1}");
        assertEquals(200, answer.status());
        assertEquals("the body", answer.body());
        assertEquals("seal-of-s-1", answer.header(PlatformNames.SERVER_SEAL));
        RawServer.Request seen = server.receivedRequests().get(0);
        assertEquals("/safe/a%20b?x=1", seen.target());
        assertEquals("POST", seen.method());
        assertEquals("{\"n\": 1}", new String(seen.body(), java.nio.charset.StandardCharsets.UTF_8));
        assertEquals("kept", seen.header("X-Other"));
        assertEquals("attempt-1", seen.header(PlatformNames.ATTEMPT_ID));
        assertEquals("coop", seen.header(PlatformNames.TENANT));
        assertEquals("s-1", seen.header(PlatformNames.EXPECT_INSTANCE));
        assertTrue(Long.parseLong(seen.header(PlatformNames.DEADLINE)) <= 5_000, "no more time than the route's");
        assertEquals("", seen.header("Authorization"));
    }

    @Test
    void whatOnlyTheRelayMaySetIsTakenOutOfACallersRequest() throws IOException {
        ServerStandin server = scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        String forged = PlatformNames.TENANT + ": other\r\n" + PlatformNames.HOLD + ": 1\r\n" + PlatformNames.PIN_MILLIS
                + ": 1\r\n" + PlatformNames.KV_BACKUP + ": 1.2.3.4:5\r\n" + PlatformNames.KV_FROM
                + ": 1.2.3.4:5/6\r\n" + PlatformNames.EXPECT_INSTANCE + ": s-9\r\n";
        assertEquals(200, ask(gateway, "GET", "/safe/x", forged, "").status());
        RawServer.Request seen = server.receivedRequests().get(0);
        assertEquals("coop", seen.header(PlatformNames.TENANT));
        assertEquals("s-1", seen.header(PlatformNames.EXPECT_INSTANCE));
        for (String name : new String[] {
            PlatformNames.HOLD, PlatformNames.PIN_MILLIS, PlatformNames.KV_BACKUP, PlatformNames.KV_FROM
        }) {
            assertEquals("", seen.header(name), name);
        }
    }

    @Test
    void aRouteThatIsNotThereAndAKeyThatNobodyHoldsAreRefused() throws IOException {
        scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        assertEquals(404, ask(gateway, "GET", "/none/x", "", "").status());
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            String request = RawCaller.request("GET", "/safe/x", "a", "", "").replace("key-1", "key-9");
            assertEquals(401, caller.exchange(request).status());
            assertEquals(
                    200, caller.exchange(request.replace("/safe/", "/open/")).status(), "an open route needs no key");
        }
    }

    /** Guards against a starting gateway that takes a missing configuration for an empty one and answers 404. */
    @Test
    void aGatewayWithoutAConfigurationPromisesNotToHaveRunTheRequest() throws IOException {
        scene.store.faultMode(StoreStandin.FaultMode.BUSY);
        GatewayDaemon gateway = scene.start("gateway-0", scene.store.address());
        RawCaller.Answer answer = ask(gateway, "GET", "/safe/x", "", "");
        assertEquals(503, answer.status());
        assertFalse(answer.header("Retry-After").isEmpty());
        assertFalse(gateway.ready());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
                "GET /once/x HTTP/1.1\r\nHost: shop.example\r\nHost: other.example\r\n\r\n",
                "GET http://shop.example/once/x HTTP/1.1\r\nHost: shop.example\r\n\r\n"
            })
    void aRequestThatTwoReadersCouldCutDifferentlyIsRefusedAndReachesNoServer(String text) throws IOException {
        ServerStandin server = scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            assertEquals(400, caller.exchange(text).status());
            assertTrue(caller.closed());
        }
        assertTrue(server.receivedRequests().isEmpty());
    }

    @Test
    void aSafeRequestThatAServerFailsIsTriedAtAnother() throws IOException {
        ServerStandin failing = scene.server("s-1", "plain", ServerStandin.plain(500, "no"));
        ServerStandin sound = scene.server("s-2", "plain", ServerStandin.plain(200, "yes"));
        GatewayDaemon gateway = scene.gateway();
        for (int i = 0; i < 4; i++) {
            assertEquals("yes", ask(gateway, "GET", "/safe/x", "", "").body());
        }
        assertTrue(failing.receivedRequests().size() + sound.receivedRequests().size() >= 4);
    }

    @Test
    void aServersOwnErrorIsPassedOnWithItsSignatureWhenNoOtherServerIsLeft() throws IOException {
        scene.server("s-1", "plain", ServerStandin.plain(500, "no"));
        GatewayDaemon gateway = scene.gateway();
        RawCaller.Answer answer = ask(gateway, "POST", "/once/x", "", "{}");
        assertEquals(500, answer.status());
        assertEquals("no", answer.body());
        assertEquals("seal-of-s-1", answer.header(PlatformNames.SERVER_SEAL));
    }

    /** Guards against dropping a server's own error for a retry when there is no server to retry at. */
    @Test
    void aServersOwnErrorOfASafeRequestIsPassedOnWhenNoOtherServerIsLeft() throws IOException {
        scene.server("s-1", "plain", ServerStandin.plain(500, "no"));
        GatewayDaemon gateway = scene.gateway();
        RawCaller.Answer answer = ask(gateway, "GET", "/safe/x", "", "");
        assertEquals(500, answer.status());
        assertEquals("seal-of-s-1", answer.header(PlatformNames.SERVER_SEAL));
    }

    /** Guards against giving up an answer that is only slow for one that never comes. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aSlowAnswerIsPassedOnIfTheOtherServerRefusesOrHangs(boolean refuses) throws IOException {
        CountDownLatch never = new CountDownLatch(1);
        AtomicInteger received = new AtomicInteger();
        ServerStandin.ResponseScript script = (server, request, connection) -> {
            if (received.incrementAndGet() == 1) {
                Thread.sleep(1_500);
                connection.answer(200, server.headers(request), "late");
            } else if (refuses) {
                ServerStandin.refusing().answer(server, request, connection);
            } else {
                never.await();
            }
        };
        scene.server("s-1", "plain", script);
        scene.server("s-2", "plain", script);
        GatewayDaemon gateway = scene.gateway();
        assertEquals("late", ask(gateway, "GET", "/safe/x", "", "").body());
        assertEquals(2, received.get());
        never.countDown();
    }

    /** Returns the body of the answer to a safe request that may be sent to each of three servers. */
    private String askWithThreeAttempts(ServerStandin.ResponseScript script) throws IOException {
        scene.platform.route("/safe/", "safe", "plain").put(PlatformNames.MAX_ATTEMPTS, 3);
        scene.platform.publish();
        scene.server("s-1", "plain", script);
        scene.server("s-2", "plain", script);
        scene.server("s-3", "plain", script);
        return ask(scene.gateway(), "GET", "/safe/x", "", "").body();
    }

    /** Guards against waiting for a server that hangs when the first server asked in its place refuses or fails. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestWhoseServerHangsReachesAThirdServerIfTheSecondRefusesOrFails(boolean refuses) throws IOException {
        CountDownLatch never = new CountDownLatch(1);
        AtomicInteger received = new AtomicInteger();
        ServerStandin.ResponseScript script = (server, request, connection) -> {
            switch (received.incrementAndGet()) {
                case 1 -> never.await();
                case 2 -> {
                    if (refuses) {
                        ServerStandin.refusing().answer(server, request, connection);
                    } else {
                        connection.reset();
                    }
                }
                default -> connection.answer(200, server.headers(request), "third");
            }
        };
        assertEquals("third", askWithThreeAttempts(script));
        never.countDown();
    }

    /** Guards against waiting for two servers that hang when a third one could answer. */
    @Test
    void aRequestThatHangsAtTwoServersReachesAThird() throws IOException {
        CountDownLatch never = new CountDownLatch(1);
        AtomicInteger received = new AtomicInteger();
        ServerStandin.ResponseScript script = (server, request, connection) -> {
            if (received.incrementAndGet() <= 2) {
                never.await();
            }
            connection.answer(200, server.headers(request), "third");
        };
        assertEquals("third", askWithThreeAttempts(script));
        never.countDown();
    }

    /** Guards against waiting for a server that hangs when another one is only unavailable for a moment. */
    @Test
    void aRequestWhoseServerHangsReachesAnotherOneThatAcceptsRequestsAgain() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        AtomicInteger received = new AtomicInteger();
        ServerStandin.ResponseScript script = (server, request, connection) -> {
            switch (received.incrementAndGet()) {
                case 1, 3 -> never.await();
                case 2 ->
                    connection.answer(
                            503, PlatformNames.NOT_EXECUTED + ": 1\r\nRetry-After: " + BACKOFF_SECONDS + "\r\n", "");
                default -> connection.answer(200, server.headers(request), "other");
            }
        };
        scene.server("s-1", "plain", script);
        scene.server("s-2", "plain", script);
        GatewayDaemon gateway = scene.gateway();
        FutureTask<RawCaller.Answer> first = new FutureTask<>(() -> ask(gateway, "GET", "/safe/x", "", ""));
        Thread.ofVirtual().start(first);
        RelayScene.await(() -> received.get() == 1);
        Thread.ofVirtual().start(new FutureTask<>(() -> ask(gateway, "GET", "/safe/x", "", "")));
        assertEquals("other", first.get().body());
        never.countDown();
    }

    /** Guards against a second run of a non-idempotent request whose answer is lost. */
    @Test
    void anUnsafeRequestWhoseAnswerIsLostIsNotSentAgainAndNotPromisedUnrun() throws IOException {
        ServerStandin first = scene.server("s-1", "plain", (server, request, connection) -> connection.reset());
        ServerStandin second = scene.server("s-2", "plain", (server, request, connection) -> connection.reset());
        GatewayDaemon gateway = scene.gateway();
        assertEquals(502, ask(gateway, "POST", "/once/x", "", "{}").status());
        assertEquals(
                1, first.receivedRequests().size() + second.receivedRequests().size());
    }

    @Test
    void anUnsafeRequestThatServersRefuseUnrunIsPromisedUnrun() throws IOException {
        scene.server("s-1", "plain", ServerStandin.refusing());
        scene.server("s-2", "plain", ServerStandin.refusing());
        GatewayDaemon gateway = scene.gateway();
        RawCaller.Answer answer = ask(gateway, "POST", "/once/x", "", "{}");
        assertEquals(503, answer.status());
        assertFalse(answer.header("Retry-After").isEmpty());
    }

    /** Guards against giving a duplicate of an earlier answer on a kept connection to the next caller. */
    @Test
    void aLateCopyOfAnotherAnswerIsGivenToNobody() throws IOException {
        ServerStandin server = scene.server("s-1", "plain", ServerStandin.plain(200, "one"));
        GatewayDaemon gateway = scene.gateway();
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            assertEquals(
                    "one",
                    caller.exchange(RawCaller.request("GET", "/safe/x", "first", "", ""))
                            .body());
            server.script((standin, request, connection) -> {
                connection.write("HTTP/1.1 200 OK\r\n" + PlatformNames.ATTEMPT_ID + ": first\r\n"
                        + PlatformNames.SERVER_SEAL + ": s\r\nContent-Length: 3\r\n\r\none");
                connection.answer(200, standin.headers(request), "two");
            });
            assertEquals(
                    "two",
                    caller.exchange(RawCaller.request("GET", "/safe/x", "second", "", ""))
                            .body());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"garbage\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"})
    void bytesThatAreNoAnswerOfTheServerNeverReachACaller(String bytes) throws IOException {
        scene.server("s-1", "plain", (server, request, connection) -> {
            connection.write(bytes);
            connection.socket().close();
        });
        GatewayDaemon gateway = scene.gateway();
        RawCaller.Answer answer = ask(gateway, "POST", "/once/x", "", "{}");
        assertEquals(502, answer.status());
        assertEquals("", answer.header(PlatformNames.SERVER_SEAL));
    }

    @Test
    void aTruncatedAnswerIsNotPassedOnAsWhole() throws IOException {
        scene.server("s-1", "plain", (server, request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\n" + server.headers(request) + "Content-Length: 10\r\n\r\nhalf");
            connection.socket().close();
        });
        GatewayDaemon gateway = scene.gateway();
        assertEquals(502, ask(gateway, "POST", "/once/x", "", "{}").status());
    }

    /** Guards against half an event, followed by the whole one, when an engine crashes within an event. */
    @Test
    void aStreamThatBreaksWithinAnEventGoesOnElsewhereWithEachEventOnce() throws IOException {
        ServerStandin cutting = scene.server("e-1", "model", ServerStandin.cutWithin(4));
        ServerStandin sound = scene.server("e-2", "model", ServerStandin.events(6, 1));
        GatewayDaemon gateway = scene.gateway();
        for (int i = 0; i < 4; i++) {
            RawCaller.Answer answer = ask(gateway, "POST", "/stream/x", "", "{}");
            assertTrue(answer.whole());
            StringBuilder expected = new StringBuilder();
            for (int event = 1; event <= 6; event++) {
                expected.append("id: ")
                        .append(event)
                        .append("\ndata: piece ")
                        .append(event)
                        .append("\n\n");
            }
            assertEquals(expected.toString(), answer.body());
        }
        assertFalse(cutting.receivedRequests().isEmpty());
        assertTrue(sound.receivedRequests().stream()
                .anyMatch(request -> request.header(PlatformNames.LAST_EVENT_ID).equals("3")));
    }

    /** Guards against streams that stall when an engine loses power and resets nothing. */
    @Test
    void aStreamWhoseEngineFallsSilentGoesOnElsewhere() throws IOException {
        CountDownLatch never = new CountDownLatch(1);
        ServerStandin silent = scene.server("e-1", "model", (server, request, connection) -> {
            ServerStandin.beginStream(server, request, connection);
            ServerStandin.writeEvent(server, connection, 1);
            ServerStandin.writeEvent(server, connection, 2);
            never.await();
        });
        scene.server("e-2", "model", ServerStandin.events(4, 1));
        GatewayDaemon gateway = scene.gateway();
        for (int i = 0; i < 2; i++) {
            RawCaller.Answer answer = ask(gateway, "POST", "/stream/x", "", "{}");
            assertTrue(answer.whole());
            for (int event = 1; event <= 4; event++) {
                assertEquals(2, answer.body().split("id: " + event + "\n", -1).length, "event " + event + " once");
            }
        }
        assertFalse(silent.receivedRequests().isEmpty());
        never.countDown();
    }

    @Test
    void aBrokenStreamThatMayNotGoOnElsewhereDoesNotLookComplete() throws IOException {
        scene.server("e-1", "model", ServerStandin.cutWithin(3));
        scene.server("e-2", "model", ServerStandin.cutWithin(3));
        GatewayDaemon gateway = scene.gateway();
        RawCaller.Answer answer = ask(gateway, "POST", "/ask/x", "", "{}");
        assertFalse(answer.whole());
        assertFalse(answer.body().contains("id: 3"), "half an event");
    }

    /** Guards against waiting for the caller's own, longer deadline when a server hangs. */
    @Test
    void aRequestIsAnsweredAtItsRoutesTimeoutThoughTheCallerWouldWaitLonger() throws IOException {
        scene.platform
                .routes()
                .forEach(route -> ((com.fasterxml.jackson.databind.node.ObjectNode) route)
                        .put(PlatformNames.TIMEOUT_MILLIS, 300));
        scene.platform.publish();
        CountDownLatch never = new CountDownLatch(1);
        scene.server("s-1", "plain", (server, request, connection) -> never.await());
        GatewayDaemon gateway = scene.gateway();
        assertEquals(504, ask(gateway, "POST", "/once/x", "", "{}").status());
        never.countDown();
    }

    @Test
    void aServerIsFreedWhenTheCallerOfAStreamLeaves() throws IOException {
        ServerStandin server = scene.server("e-1", "model", ServerStandin.events(100_000, 5));
        GatewayDaemon gateway = scene.gateway();
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            caller.send(RawCaller.request("POST", "/stream/x", "a", "", "{}"));
            caller.line();
        }
        RelayScene.await(() -> server.brokenResponses() == 1);
    }

    /** Guards against a run at another server that was assigned the address of an ended one. */
    @Test
    void aServerThatHasTheAddressOfAnEndedOneDoesNotRunItsRequests() throws IOException {
        ServerStandin other = ServerStandin.start("s-new", ServerStandin.plain(200, "wrong"));
        ServerStandin old = ServerStandin.start("s-old", ServerStandin.plain(200, "x"));
        scene.store.put(
                PlatformNames.SERVERS_PREFIX + "s-old",
                "{\"service\":\"plain\",\"address\":\"127.0.0.1:"
                        + other.address().getPort() + "\",\"zone\":\"north\",\"slots\":4,\"state\":\"ready\"}");
        GatewayDaemon gateway = scene.gateway();
        assertEquals(503, ask(gateway, "POST", "/once/x", "", "{}").status());
        assertTrue(other.receivedRequests().isEmpty());
        old.close();
        other.close();
    }

    @Test
    void aServerThatIsDrainingGetsNoNewRequests() throws IOException {
        ServerStandin leaving = scene.server("s-1", "plain", ServerStandin.plain(200, "one"));
        scene.server("s-2", "plain", ServerStandin.plain(200, "two"));
        GatewayDaemon gateway = scene.gateway();
        scene.platform.register(leaving, "plain", PlatformNames.DRAINING);
        RelayScene.await(() -> {
            int before = leaving.receivedRequests().size();
            try {
                for (int i = 0; i < 6; i++) {
                    ask(gateway, "GET", "/safe/x", "", "");
                }
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            return leaving.receivedRequests().size() == before;
        });
    }
}
