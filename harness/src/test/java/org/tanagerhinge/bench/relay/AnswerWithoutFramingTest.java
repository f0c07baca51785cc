package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against broken answers that look complete since they have neither a length nor chunks. */
class AnswerWithoutFramingTest {
    private static final String EVENTS = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";

    private RelayScene scene;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("model", 8);
        scene.platform.service("plain", 0);
        scene.platform.route("/stream/", "streaming", "model");
        scene.platform.route("/resumable/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
        scene.platform.route("/plain/", "unsafe", "plain");
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    /** How an answer ends that has been written. */
    private enum End {
        CLOSED,
        RESET,
        SERVER_CRASHED
    }

    private static ServerStandin.ResponseScript unframed(String body, End end) {
        return (server, request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\n" + server.headers(request) + "\r\n" + body);
            Thread.sleep(50);
            switch (end) {
                case CLOSED -> connection.socket().close();
                case RESET -> connection.reset();
                case SERVER_CRASHED -> server.close();
            }
        };
    }

    /** Returns a script that breaks a new stream, and completes one that goes on. */
    private static ServerStandin.ResponseScript firstBreaks(End end) {
        return (server, request, connection) -> {
            boolean isNew = request.header(PlatformNames.LAST_EVENT_ID).isEmpty();
            (isNew ? unframed(EVENTS, end) : ServerStandin.events(4, 1)).answer(server, request, connection);
        };
    }

    private RawCaller.Answer ask(String path) throws IOException {
        GatewayDaemon gateway = scene.gateway();
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("POST", path, "attempt-1", "", "{}"));
        }
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void streamIsWholeOnlyIfItsServerHasClosedItAndIsStillUp(End end) throws IOException {
        scene.server("e-1", "model", unframed(EVENTS, end));
        RawCaller.Answer answer = ask("/stream/x");
        assertEquals(EVENTS, answer.body());
        assertEquals(end == End.CLOSED, answer.whole());
    }

    @Test
    void streamThatEndsInsideAnEventIsBrokenOff() throws IOException {
        scene.server("e-1", "model", unframed(EVENTS + "id: 3\n", End.CLOSED));
        RawCaller.Answer answer = ask("/stream/x");
        assertEquals(EVENTS, answer.body());
        assertFalse(answer.whole());
    }

    @ParameterizedTest
    @EnumSource(
            value = End.class,
            names = {"RESET", "SERVER_CRASHED"})
    void resumableStreamGoesOnAtAnotherServer(End end) throws IOException {
        scene.server("e-1", "model", firstBreaks(end));
        scene.server("e-2", "model", firstBreaks(end));
        RawCaller.Answer answer = ask("/resumable/x");
        assertTrue(answer.whole());
        assertEquals(
                4, answer.body().lines().filter(line -> line.startsWith("id:")).count());
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void plainAnswerIsWholeOnlyIfItsServerHasClosedItAndIsStillUp(End end) throws IOException {
        scene.server("p-1", "plain", unframed("whole", end));
        RawCaller.Answer answer = ask("/plain/x");
        assertEquals(end == End.CLOSED ? 200 : 502, answer.status());
        assertEquals(end == End.CLOSED, answer.body().equals("whole"));
    }

    /** Guards against a stream that looks complete although its server was killed while it was draining. */
    @ParameterizedTest
    @EnumSource(End.class)
    void streamOfADrainingServerIsWholeOnlyIfItsServerIsStillUp(End end) throws IOException {
        ServerStandin server = scene.server("e-1", "model", unframedWhileDraining(end));
        RawCaller.Answer answer = ask("/stream/x");
        assertEquals(1, server.receivedRequests().size());
        assertEquals(EVENTS, answer.body());
        assertEquals(end == End.CLOSED, answer.whole());
    }

    /** Returns a script whose server drains, and is known to, before the answer ends. */
    private ServerStandin.ResponseScript unframedWhileDraining(End end) {
        return (server, request, connection) -> {
            scene.platform.register(server, "model", PlatformNames.DRAINING);
            int listings = scene.store.calls(PlatformNames.RANGE_PATH);
            RelayScene.await(() -> scene.store.calls(PlatformNames.RANGE_PATH) > listings + 1);
            unframed(EVENTS, end).answer(server, request, connection);
        };
    }
}
