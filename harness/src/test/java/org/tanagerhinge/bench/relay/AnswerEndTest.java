package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.gateway.GatewayDaemon;

/** Guards against answers that reach callers as whole although their connection ended before their end. */
class AnswerEndTest {
    private static final String ATTEMPT = "attempt-1";
    private static final String FRAMED_HEAD =
            "HTTP/1.1 200 OK\r\n" + EndingServer.headers(ATTEMPT) + "Content-Length: 1000\r\n\r\n";

    private static final String UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\n" + EndingServer.headers(ATTEMPT) + "\r\n";
    /** Sizes of requests that fit into the buffers of the gateway's kernel, but not into those of the server. */
    private static final List<Integer> BUFFERED_REQUEST_BYTES = List.of(60_000, 400_000, 500_000, 1_500_000);

    private static final int TRIES = 10;
    /** Stands for a whole head without framing, after which nothing follows. */
    private static final int UNFRAMED = 0;

    private static RelayScene scene;
    private static GatewayDaemon gateway;
    private static final List<EndingServer> SERVERS = new ArrayList<>();
    private static final Map<Object, String> PATHS = new HashMap<>();

    /** How the end of an answer is marked. */
    private enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION_END
    }

    /** What is asked for. */
    private enum Kind {
        SMALL("unsafe", "answer;".repeat(20)),
        /** Its first half is more than the gateway holds back until an answer is complete. */
        LARGE("safe", "answer;".repeat(100_000)),
        STREAM("streaming", "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n");

        private final String routeKind;
        private final String body;

        Kind(String routeKind, String body) {
            this.routeKind = routeKind;
            this.body = body;
        }
    }

    private record AnswerCase(Framing framing, boolean complete, EndingServer.End end, Kind kind) {
        /** Returns whether the caller may get the answer as a whole one. */
        boolean mayBeWhole() {
            return framing == Framing.CONNECTION_END ? end.inOrder() : complete;
        }

        /** Returns whether a reset may arrive before the rest of an answer that would be whole without it. */
        boolean mayBeOvertaken() {
            return end == EndingServer.End.RESET_AT_ONCE && mayBeWhole();
        }

        String written() {
            String head = "HTTP/1.1 200 OK\r\n" + EndingServer.headers(ATTEMPT);
            String part = complete ? kind.body : kind.body.substring(0, kind.body.length() / 2);
            return switch (framing) {
                case LENGTH -> head + "Content-Length: " + kind.body.length() + "\r\n\r\n" + part;
                case CHUNKS ->
                    head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(part.length()) + "\r\n" + part
                            + "\r\n" + (complete ? "0\r\n\r\n" : "");
                case CONNECTION_END -> head + "\r\n" + part;
            };
        }
    }

    private record HeadCase(int bytes, EndingServer.End end) {
        String written() {
            return bytes == UNFRAMED ? UNFRAMED_HEAD : FRAMED_HEAD.substring(0, bytes);
        }
    }

    private static Stream<AnswerCase> answers() {
        return Stream.of(Framing.values())
                .flatMap(framing -> Stream.of(true, false)
                        .flatMap(complete -> Stream.of(EndingServer.End.values())
                                .flatMap(end -> Stream.of(Kind.values())
                                        .map(kind -> new AnswerCase(framing, complete, end, kind)))))
                .filter(answer -> !answer.mayBeOvertaken());
    }

    /**
     * Returns heads that are cut at each byte of the last line and of the blank line, and within each other line, and one
     * that is followed by nothing.
     */
    private static Stream<HeadCase> heads() {
        int lastLine = FRAMED_HEAD.indexOf("Content-Length");
        Stream<HeadCase> withoutBody = Stream.of(EndingServer.End.values())
                .filter(end -> !end.inOrder())
                .map(end -> new HeadCase(UNFRAMED, end));
        Stream<HeadCase> cut = Stream.iterate(
                        1, bytes -> bytes < FRAMED_HEAD.length(), bytes -> bytes + (bytes < lastLine - 7 ? 7 : 1))
                .flatMap(bytes -> Stream.of(EndingServer.End.CLOSED, EndingServer.End.RESET)
                        .map(end -> new HeadCase(bytes, end)));
        return Stream.concat(cut, withoutBody);
    }

    @BeforeAll
    static void setUp() throws IOException {
        scene = new RelayScene();
        answers().forEach(answer -> server(answer, answer.kind().routeKind, answer.written(), answer.end()));
        heads().forEach(head -> server(head, "unsafe", head.written(), head.end()));
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        gateway = scene.gateway();
    }

    private static void server(Object key, String routeKind, String written, EndingServer.End end) {
        String id = "s" + SERVERS.size();
        EndingServer server = EndingServer.start(id, new EndingServer.Script(written, end));
        SERVERS.add(server);
        PATHS.put(key, "/" + id + "/");
        scene.platform.service(id, routeKind.equals("streaming") ? 8 : 0);
        scene.platform.route("/" + id + "/", routeKind, id);
        scene.platform.register(id, server.address(), id);
    }

    @AfterAll
    static void tearDown() {
        scene.close();
        SERVERS.forEach(EndingServer::close);
    }

    private static String body(EndingServer.End end) {
        return end.early() ? "x".repeat(EndingServer.LONG_REQUEST_BYTES) : "{}";
    }

    private static RawCaller.Answer ask(String path, String body) throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("POST", path, ATTEMPT, "", body));
        }
    }

    @ParameterizedTest
    @MethodSource("answers")
    void answerIsWholeOnlyIfItCannotHaveBeenCut(AnswerCase scenario) throws IOException {
        RawCaller.Answer answer = ask(PATHS.get(scenario), body(scenario.end()));
        boolean whole = answer.status() == 200 && answer.whole();
        assertEquals(
                scenario.mayBeWhole(),
                whole,
                () -> "got " + answer.status() + ", " + answer.body().length());
        if (scenario.complete() && whole) {
            assertEquals(scenario.kind().body, answer.body());
        }
    }

    @ParameterizedTest
    @MethodSource("heads")
    void answerThatEndsWithinItsHeadIsNoSuccess(HeadCase scenario) throws IOException {
        RawCaller.Answer answer = ask(PATHS.get(scenario), body(scenario.end()));
        assertEquals(502, answer.status());
        assertTrue(answer.whole());
        assertFalse(answer.headers().containsKey("x-server-seal"));
    }

    private static Stream<Arguments> earlyEnds() {
        return Stream.of(EndingServer.End.values())
                .filter(EndingServer.End::early)
                .flatMap(end -> BUFFERED_REQUEST_BYTES.stream().map(bytes -> Arguments.of(end, bytes)));
    }

    /** Guards against taking a request for read that the gateway has only handed to its kernel. */
    @ParameterizedTest
    @MethodSource("earlyEnds")
    void answerIsCutByAResetWhileTheKernelSendsTheRequest(EndingServer.End end, int requestBytes) throws IOException {
        String path = PATHS.get(new AnswerCase(Framing.CONNECTION_END, false, end, Kind.SMALL));
        for (int i = 0; i < TRIES; i++) {
            RawCaller.Answer answer = ask(path, "x".repeat(requestBytes));
            assertEquals(502, answer.status(), answer.body());
        }
    }

    /** Guards against failing an answer to a long request that the server has read. */
    @ParameterizedTest
    @CsvSource({
        "CLOSED, 500000",
        "CLOSED, 4190000",
        "HALF_CLOSED, 500000",
        "HALF_CLOSED, 4190000",
    })
    void answerToALongRequestThatWasReadIsWhole(EndingServer.End end, int requestBytes) throws IOException {
        String path = PATHS.get(new AnswerCase(Framing.CONNECTION_END, true, end, Kind.SMALL));
        RawCaller.Answer answer = ask(path, "x".repeat(requestBytes));
        assertEquals(200, answer.status());
        assertEquals(Kind.SMALL.body, answer.body());
    }
}
