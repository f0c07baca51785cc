package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;

/** Guards against answers that HTTP/1.1 allows but that a gateway fails, or passes on with other bytes. */
class SoundAnswerTest {
    private static final long PAUSE_MILLIS = 30;
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    /** Fields that concern a single connection, or that the gateway sets anew. */
    private static final Set<String> OWN_FIELDS = Set.of("connection", "keep-alive", "transfer-encoding", "trailer");

    private static RelayScene scene;
    private static GatewayDaemon gateway;

    /**
     * An answer.
     *
     * @param method of its request
     * @param before what comes before it
     * @param statusLine of the answer; the caller gets it with the gateway's version
     * @param fields lines that a caller gets as they are
     * @param rest lines of the framing, and the body
     * @param body as a caller has to get it
     */
    private record Sound(String method, String before, String statusLine, String fields, String rest, String body) {
        static Sound of(String statusLine, String fields, String rest, String body) {
            return new Sound("POST", "", statusLine, fields, rest, body);
        }

        static Sound withLength(String statusLine, String fields) {
            return of(statusLine, fields, "Content-Length: 2\r\n\r\nok", "ok");
        }

        static Sound withChunks(String chunks, String body) {
            return of("HTTP/1.1 200 OK", "", CHUNKED + chunks, body);
        }

        /** Returns whether a length in the head is not that of the body that follows. */
        boolean statesOtherLength() {
            return method.equals("HEAD") || statusLine.contains(" 304 ");
        }

        byte[] bytes(String headers) {
            return (before + statusLine + "\r\n" + headers + fields + rest).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private static final List<Sound> ANSWERS = answers().toList();

    private static Stream<Sound> answers() {
        return Stream.of(statuses(), reasons(), fields(), framings(), withoutBody(), interims())
                .flatMap(answers -> answers);
    }

    /** All statuses with a body but 205, which excludes one, and 421, which tells that another server is asked for. */
    private static Stream<Sound> statuses() {
        return IntStream.rangeClosed(200, 599)
                .filter(status -> !Set.of(204, 205, 304, 421).contains(status))
                .mapToObj(status -> Sound.withLength("HTTP/1.1 " + status + " Of its own", ""));
    }

    private static Stream<Sound> reasons() {
        return Stream.of(
                        "",
                        "OK",
                        "ok",
                        "Two words",
                        "With\ttab",
                        "caf\u00e9 \u00ff\u0080",
                        "!\"#$%&'()*+,-./:;<=>?@[]^_`{|}~")
                .map(reason -> Sound.withLength("HTTP/1.1 200 " + reason, ""));
    }

    private static Stream<Sound> fields() {
        return Stream.of(
                        "X-Case: Kept\r\nx-case: twice\r\nX-CASE: thrice\r\n",
                        "!#$%&'*+-.^_`|~09azAZ: each character of a name\r\n",
                        "X: caf\u00e9 \u0080\u00ff\r\n",
                        "X: \"quoted, \\\" text\"; a=b\ttab\r\n",
                        "X:\r\nY: \r\n",
                        "Set-Cookie: a=b\r\nSet-Cookie: c=d\r\n",
                        "Content-Type: text/plain\r\nRetry-After: 1.5\r\nDate: Mon, 07 Dec 2026 06:00:00 GMT\r\n",
                        "Location: /elsewhere?a=b&c=%20\r\nETag: W/\"1\"\r\nWarning: 199 - \"old\"\r\n",
                        "X: folded\r\n line\r\n\tof three\r\nY: 1\r\n",
                        "X-Long: " + "x".repeat(8_000) + "\r\n",
                        "X: y\r\n".repeat(500))
                .map(fields -> Sound.withLength("HTTP/1.1 200 OK", fields));
    }

    private static Stream<Sound> framings() {
        String large = "answer;".repeat(100_000);
        return Stream.of(
                Sound.of("HTTP/1.1 200 OK", "", "Content-Length: 0\r\n\r\n", ""),
                Sound.of("HTTP/1.1 200 OK", "", "Content-Length: 0002\r\n\r\nok", "ok"),
                Sound.of("HTTP/1.1 200 OK", "", "content-length:2\r\n\r\nok", "ok"),
                Sound.of("HTTP/1.1 200 OK", "", "Content-Length: \t2\t \r\n\r\nok", "ok"),
                Sound.of("HTTP/1.1 200 OK", "", "Content-Length: " + large.length() + "\r\n\r\n" + large, large),
                Sound.of("HTTP/1.1 200 OK", "", "Content-Length: 4\r\n\r\n\0\r\n\u00ff", "\0\r\n\u00ff"),
                Sound.of("HTTP/1.0 200 OK", "", "Content-Length: 2\r\n\r\nok", "ok"),
                Sound.of("HTTP/1.1 200 OK", "", "\r\nok", "ok"),
                Sound.of("HTTP/1.1 200 OK", "", "Connection: close\r\n\r\n" + large, large),
                Sound.of("HTTP/1.0 200 OK", "", "\r\nok", "ok"),
                Sound.of("HTTP/1.1 200 OK", "", "Connection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 2\r\n\r\nok", "ok"),
                Sound.of("HTTP/1.1 200 OK", "", "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"),
                Sound.withChunks("0\r\n\r\n", ""),
                Sound.withChunks("2\r\nok\r\n0\r\n\r\n", "ok"),
                Sound.withChunks("1\r\no\r\n1\r\nk\r\n0\r\n\r\n", "ok"),
                Sound.withChunks("0002\r\nok\r\n0000\r\n\r\n", "ok"),
                Sound.withChunks("a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n", "01234567890123456789"),
                Sound.withChunks("2;a\r\nok\r\n0;b=c\r\n\r\n", "ok"),
                Sound.withChunks("2 ; a = \"b;\\\"c\"\r\nok\r\n0\r\n\r\n", "ok"),
                Sound.withChunks("2\r\n\r\n\r\n0\r\n\r\n", "\r\n"),
                Sound.withChunks("2\r\nok\r\n0\r\nX-Sum: 1\r\nY:\r\n\r\n", "ok"),
                Sound.withChunks(Integer.toHexString(large.length()) + "\r\n" + large + "\r\n0\r\n\r\n", large));
    }

    private static Stream<Sound> withoutBody() {
        return Stream.of(
                Sound.of("HTTP/1.1 204 No Content", "X: 1\r\n", "\r\n", ""),
                Sound.of("HTTP/1.1 204 No Content", "", "Content-Length: 0\r\n\r\n", ""),
                Sound.of("HTTP/1.1 205 Reset Content", "", "Content-Length: 0\r\n\r\n", ""),
                Sound.of("HTTP/1.1 205 Reset Content", "", CHUNKED + "0\r\n\r\n", ""),
                Sound.of("HTTP/1.1 304 Not Modified", "ETag: \"1\"\r\n", "\r\n", ""),
                Sound.of("HTTP/1.1 304 Not Modified", "Content-Length: 1234\r\n", "\r\n", ""),
                new Sound("HEAD", "", "HTTP/1.1 200 OK", "Content-Length: 1234\r\n", "\r\n", ""),
                new Sound("HEAD", "", "HTTP/1.1 200 OK", "X: 1\r\n", "\r\n", ""),
                new Sound("HEAD", "", "HTTP/1.1 200 OK", "", CHUNKED, ""),
                new Sound("HEAD", "", "HTTP/1.1 404 Not Found", "Content-Length: 12\r\n", "\r\n", ""));
    }

    private static Stream<Sound> interims() {
        return Stream.of(
                        "HTTP/1.1 100 Continue\r\n\r\n",
                        "HTTP/1.1 102 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
                        "HTTP/1.1 199 Of its own\r\nX: 1\r\n\r\n")
                .map(before -> new Sound("POST", before, "HTTP/1.1 200 OK", "", "Content-Length: 2\r\n\r\nok", "ok"));
    }

    private static Stream<Integer> numbers() {
        return IntStream.range(0, ANSWERS.size()).boxed();
    }

    @BeforeAll
    static void setUp() throws IOException {
        scene = new RelayScene();
        scene.platform.workspace("coop", "key-1");
        for (int number = 0; number < ANSWERS.size(); number++) {
            Sound answer = ANSWERS.get(number);
            String service = "service-" + number;
            scene.platform.service(service, 0);
            scene.platform.route("/" + number + "/", "unsafe", service);
            scene.server(service, service, (server, request, connection) -> {
                connection.out().write(answer.bytes(server.headers(request)));
                Thread.sleep(PAUSE_MILLIS);
                connection.socket().close();
            });
        }
        scene.platform.publish();
        gateway = scene.gateway();
    }

    @AfterAll
    static void tearDown() {
        scene.close();
    }

    /** Records the bytes that a caller reads. */
    private static final class Recorder extends FilterInputStream {
        private final ByteArrayOutputStream read = new ByteArrayOutputStream();

        Recorder(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            int b = super.read();
            if (b >= 0) {
                read.write(b);
            }
            return b;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = super.read(bytes, offset, length);
            if (count > 0) {
                read.write(bytes, offset, count);
            }
            return count;
        }

        String text() {
            return read.toString(StandardCharsets.ISO_8859_1);
        }
    }

    private static String ask(int number, String method) throws IOException {
        try (Socket socket =
                new Socket(gateway.address().getAddress(), gateway.address().getPort())) {
            Recorder recorder = new Recorder(socket.getInputStream());
            String body = method.equals("HEAD") ? "" : "{}";
            RawCaller caller = RawCaller.of(socket, recorder);
            caller.send(RawCaller.request(method, "/" + number + "/x", "attempt-1", "Connection: close\r\n", body));
            while (!caller.closed()) {
                // Reads until the gateway closes the connection.
            }
            return recorder.text();
        }
    }

    /** Returns the lines of a head without those that a relay has to set itself. */
    private static List<String> endToEndLines(String head, boolean withLength) {
        return head.lines()
                .skip(1)
                .filter(line -> {
                    String name = line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT);
                    return !OWN_FIELDS.contains(name) && (withLength || !name.equals("content-length"));
                })
                .map(line -> line.substring(0, line.indexOf(':') + 1)
                        + line.substring(line.indexOf(':') + 1).strip())
                .toList();
    }

    /** Returns header lines as a proxy has to forward them (RFC 9112, section 5.2). */
    private static String unfolded(String fields) {
        return fields.replaceAll("\r\n[ \t]+", " ");
    }

    private static String body(String head, String rest) {
        if (!head.contains("\r\ntransfer-encoding: chunked")) {
            return rest;
        }
        StringBuilder body = new StringBuilder();
        int at = 0;
        for (int lineEnd = rest.indexOf("\r\n"); ; lineEnd = rest.indexOf("\r\n", at)) {
            int size = Integer.parseInt(rest.substring(at, lineEnd), 16);
            if (size == 0) {
                assertEquals("\r\n", rest.substring(lineEnd + 2));
                return body.toString();
            }
            body.append(rest, lineEnd + 2, lineEnd + 2 + size);
            at = lineEnd + 2 + size + 2;
        }
    }

    @ParameterizedTest
    @MethodSource("numbers")
    void callerGetsTheAnswerByteForByte(int number) throws IOException {
        Sound sound = ANSWERS.get(number);
        String got = ask(number, sound.method());
        int end = got.indexOf("\r\n\r\n");
        String head = got.substring(0, end + 2);
        String statusLine = "HTTP/1.1" + sound.statusLine().substring("HTTP/1.1".length());
        assertEquals(statusLine, head.substring(0, head.indexOf("\r\n")));
        String fields = PlatformNames.ATTEMPT_ID + ": attempt-1\r\n" + PlatformNames.SERVER_SEAL + ": seal-of-service-"
                + number + "\r\n" + unfolded(sound.fields());
        assertEquals(endToEndLines("\r\n" + fields, true), endToEndLines(head, sound.statesOtherLength()));
        assertEquals(sound.body(), body(head.toLowerCase(Locale.ROOT), got.substring(end + 4)));
    }
}
