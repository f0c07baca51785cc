package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.bench.relay.EndingServer;
import org.tanagerhinge.bench.relay.EndingServer.End;

/** Guards against answers of plain services that routers pass on as whole although their server was killed. */
class ServiceAnswerEndTest {
    private static final int READ_MILLIS = 30_000;
    private static final String BODY = "answer;".repeat(20);
    private static final String HALF = BODY.substring(0, BODY.length() / 2);
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n";
    private static final String FRAMED_HEAD = HEAD + "Content-Length: " + BODY.length() + "\r\n\r\n";

    private static LocalCluster cluster;
    private static final List<EndingServer> SERVERS = new ArrayList<>();
    private static final List<EndingServer.Script> SCRIPTS = scripts().toList();

    private static Stream<EndingServer.Script> scripts() {
        Stream<EndingServer.Script> bodies = Stream.of(End.CLOSED, End.RESET, End.KILLED)
                .flatMap(end -> Stream.of(
                        new EndingServer.Script(FRAMED_HEAD + BODY, end),
                        new EndingServer.Script(FRAMED_HEAD + HALF, end),
                        new EndingServer.Script(chunked(HALF), end),
                        new EndingServer.Script(chunked(BODY) + "0\r\n\r\n", end),
                        new EndingServer.Script(HEAD + "\r\n" + BODY, end)));
        Stream<EndingServer.Script> heads = Stream.iterate(1, bytes -> bytes < FRAMED_HEAD.length(), bytes -> bytes + 7)
                .flatMap(bytes -> Stream.of(End.CLOSED, End.RESET)
                        .map(end -> new EndingServer.Script(FRAMED_HEAD.substring(0, bytes), end)));
        return Stream.concat(bodies, heads);
    }

    private static String chunked(String text) {
        return HEAD + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(text.length()) + "\r\n" + text
                + "\r\n";
    }

    private static boolean mayBeWhole(EndingServer.Script script) {
        return script.answer().startsWith(FRAMED_HEAD + BODY)
                || script.answer().endsWith("0\r\n\r\n")
                || (script.answer().startsWith(HEAD + "\r\n") && script.end() == End.CLOSED);
    }

    private static Stream<Integer> scriptNumbers() {
        return Stream.iterate(0, number -> number < SCRIPTS.size(), number -> number + 1);
    }

    private static String service(int number) {
        return "service-" + number;
    }

    @BeforeAll
    static void setUp() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT).profiles(Callers.profiles());
        for (int number = 0; number < SCRIPTS.size(); number++) {
            server(service(number), SCRIPTS.get(number));
        }
        cluster.router("router-1", "kita").awaitReady();
    }

    private static void server(String service, EndingServer.Script script) throws Exception {
        EndingServer server = EndingServer.start(service, script);
        SERVERS.add(server);
        cluster.serviceAt("http://127.0.0.1:" + server.address().getPort(), service, "kita", service);
    }

    @AfterAll
    static void tearDown() {
        cluster.close();
        SERVERS.forEach(EndingServer::close);
    }

    @ParameterizedTest
    @MethodSource("scriptNumbers")
    void answerIsWholeOnlyIfItsServerHasEndedIt(int number) throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/services/" + service(number) + "/x";
        EndingServer.Script script = SCRIPTS.get(number);
        try {
            ContentResponse response =
                    Callers.post(cluster.http(), url, "status", "{}", Map.of()).send();
            boolean whole = mayBeWhole(script);
            assertEquals(whole ? 200 : 502, response.getStatus(), response.getContentAsString());
            if (whole) {
                assertEquals(BODY, response.getContentAsString());
            }
        } catch (ExecutionException e) {
            assertFalse(script.answer().startsWith(FRAMED_HEAD + BODY), () -> "cut: " + e);
        }
    }

    private record ClosingCaller(int script, String version, String connection) {
        String request() {
            return "POST /v1/services/" + service(script) + "/x " + version
                    + "\r\nHost: router\r\nAuthorization: Bearer " + Callers.KEY
                    + "\r\nX-Tanagerhinge-Profile: status\r\n" + connection + "Content-Length: 2\r\n\r\n{}";
        }
    }

    private static Stream<ClosingCaller> closingCallers() {
        // A killed server answers once.
        return scriptNumbers()
                .filter(number -> SCRIPTS.get(number).end() != End.KILLED)
                .flatMap(number -> Stream.of(
                        new ClosingCaller(number, "HTTP/1.1", "Connection: close\r\n"),
                        new ClosingCaller(number, "HTTP/1.0", "")));
    }

    /** Guards against cut answers that callers which don't keep their connection can't tell from whole ones. */
    @ParameterizedTest
    @MethodSource("closingCallers")
    void cutAnswerIsNotWholeForCallersThatClose(ClosingCaller caller) throws IOException {
        URI router = URI.create(cluster.routerUrls().get(0));
        EndingServer.Script script = SCRIPTS.get(caller.script());
        try (Socket socket = new Socket(router.getHost(), router.getPort())) {
            socket.setSoTimeout(READ_MILLIS);
            socket.getOutputStream().write(caller.request().getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            boolean success = answer.startsWith("HTTP/1.1 200");
            boolean chunked = answer.contains("\r\nTransfer-Encoding: chunked\r\n");
            boolean whole = success && (!chunked || answer.endsWith("\r\n0\r\n\r\n"));
            assertEquals(mayBeWhole(script), whole, answer);
            assertTrue(!whole || answer.contains(BODY), answer);
        } catch (SocketException e) {
            assertFalse(mayBeWhole(script), () -> "reset: " + e);
        }
    }
}
