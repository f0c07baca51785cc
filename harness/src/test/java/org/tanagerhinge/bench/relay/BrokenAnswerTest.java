package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.bench.BrokenAnswer;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against bytes that are no HTTP answer but reach a caller as one, with the seal of their server. */
class BrokenAnswerTest {
    /** Statuses by which a gateway says that it has no answer, and promises nothing. */
    private static final Set<Integer> FAILURES = Set.of(502, 504);

    /** Those that break only by the end of their connection. */
    private static final Set<BrokenAnswer> CUT = EnumSet.of(
            BrokenAnswer.LAST_CHUNK_MISSING, BrokenAnswer.LAST_LINE_MISSING, BrokenAnswer.TRAILER_WITHOUT_LAST_LINE);

    private static final long PAUSE_MILLIS = 30;

    private static RelayScene scene;
    private static GatewayDaemon gateway;
    private static final Map<BrokenAnswer, ServerStandin> SERVERS = new EnumMap<>(BrokenAnswer.class);

    /** What is asked for; routes that may repeat a request have no other server here. */
    private enum Kind {
        UNSAFE("unsafe"),
        SAFE("safe"),
        /** What comes before a broken chunk is more than the gateway holds back until an answer is complete. */
        LARGE("safe"),
        STREAM("streaming");

        private final String routeKind;

        Kind(String routeKind) {
            this.routeKind = routeKind;
        }

        byte[] bytes(BrokenAnswer answer, String headers) {
            return switch (this) {
                case UNSAFE, SAFE -> answer.bytes(headers);
                case LARGE ->
                    answer.bytesAfterChunks(headers, "answer;".repeat(1_000), 100)
                            .orElseGet(() -> answer.bytes(headers));
                case STREAM -> answer.bytes(headers, "\n\n");
            };
        }

        String path(BrokenAnswer answer) {
            return "/" + this + "/" + answer + "/";
        }
    }

    private static ServerStandin.ResponseScript script(Kind kind, BrokenAnswer answer) {
        return (server, request, connection) -> {
            connection.out().write(kind.bytes(answer, server.headers(request)));
            Thread.sleep(PAUSE_MILLIS);
            connection.socket().close();
        };
    }

    @BeforeAll
    static void setUp() throws IOException {
        scene = new RelayScene();
        scene.platform.workspace("coop", "key-1");
        scene.platform.service("sound", 0);
        scene.platform.route("/sound/", "unsafe", "sound");
        scene.server("sound", "sound", ServerStandin.plain(200, "sound"));
        for (BrokenAnswer answer : BrokenAnswer.values()) {
            for (Kind kind : Kind.values()) {
                String service = kind + "-" + answer;
                scene.platform.service(service, kind == Kind.STREAM ? 8 : 0);
                scene.platform.route(kind.path(answer), kind.routeKind, service);
                ServerStandin server = scene.server(service, service, script(kind, answer));
                if (kind == Kind.UNSAFE) {
                    SERVERS.put(answer, server);
                }
            }
        }
        scene.platform.publish();
        gateway = scene.gateway();
    }

    @AfterAll
    static void tearDown() {
        scene.close();
    }

    private static RawCaller.Answer ask(String path, String id) throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("POST", path, id, "", "{}"));
        }
    }

    private static void assertOthersDoNotNotice() throws IOException {
        RawCaller.Answer answer = ask("/sound/x", "attempt-of-another");
        assertEquals(200, answer.status());
        assertEquals("sound", answer.body());
    }

    private static void assertFailure(RawCaller.Answer answer) {
        assertTrue(answer.whole());
        assertTrue(FAILURES.contains(answer.status()), answer.toString());
        assertEquals("", answer.header(PlatformNames.SERVER_SEAL));
        assertEquals("", answer.header("X"));
    }

    @ParameterizedTest
    @EnumSource
    void callerLearnsThatThereIsNoAnswer(BrokenAnswer broken) throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            RawCaller.Answer answer =
                    caller.exchange(RawCaller.request("POST", Kind.UNSAFE.path(broken), "attempt-1", "", "{}"));
            assertFailure(answer);
            ResultCode expected = CUT.contains(broken) ? ResultCode.CONNECTION_LOST : ResultCode.MALFORMED_ANSWER;
            assertEquals(Integer.toString(expected.number()), answer.header(ResultCode.HEADER));
            RawCaller.Answer next = caller.exchange(RawCaller.request("POST", "/sound/x", "attempt-2", "", "{}"));
            assertEquals("sound", next.body());
        }
        assertEquals(1, SERVERS.get(broken).receivedRequests().size());
    }

    @ParameterizedTest
    @EnumSource
    void callerOfASafeRouteLearnsThatThereIsNoAnswer(BrokenAnswer broken) throws IOException {
        assertFailure(ask(Kind.SAFE.path(broken), "attempt-1"));
        assertOthersDoNotNotice();
    }

    /** The head of a stream or of a long answer may have been passed on before its body breaks. */
    @ParameterizedTest
    @EnumSource
    void answerThatBreaksWhileItIsPassedOnDoesNotLookComplete(BrokenAnswer broken) throws IOException {
        for (Kind kind : List.of(Kind.LARGE, Kind.STREAM)) {
            RawCaller.Answer answer = ask(kind.path(broken), "attempt-1");
            if (answer.whole()) {
                assertFailure(answer);
            }
            assertOthersDoNotNotice();
        }
    }
}
