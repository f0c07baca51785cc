package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.standin.relay.RawServer;

/** Guards against bytes of a service that are no HTTP answer but reach a caller of a router as one, and the reverse. */
class ServiceAnswerTest {
    private static final String FIELDS = "Content-Type: text/plain\r\n";
    private static final String SOUND = "sound";
    private static final long PAUSE_MILLIS = 20;

    private static LocalCluster cluster;
    private static final List<RawServer> SERVERS = new ArrayList<>();

    @BeforeAll
    static void setUp() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT).profiles(Callers.profiles());
        for (BrokenAnswer answer : BrokenAnswer.values()) {
            service(answer.name(), connection -> {
                connection.out().write(answer.bytes(FIELDS));
                Thread.sleep(PAUSE_MILLIS);
                connection.socket().close();
            });
        }
        for (SoundAnswer answer : SoundAnswer.values()) {
            service(answer.name(), connection -> {
                connection.out().write(answer.text.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(PAUSE_MILLIS);
                connection.socket().close();
            });
        }
        service(SOUND, connection -> connection.answer(200, FIELDS, SOUND));
        cluster.router("router-1", "kita").awaitReady();
    }

    /** Answers that HTTP/1.1 allows, and that are less usual. */
    private enum SoundAnswer {
        CREATED(201, "ok", "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
        STATUS_299(299, "ok", "HTTP/1.1 299 Of its own\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
        STATUS_599(599, "ok", "HTTP/1.1 599 Of its own\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
        REASON_EMPTY(200, "ok", "HTTP/1.1 200 \r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
        REASON_WITHOUT_BLANK(200, "ok", "HTTP/1.1 200\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
        REASON_NOT_ASCII(200, "ok", "HTTP/1.1 200 caf\u00e9\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
        VALUE_NOT_ASCII(
                200, "ok", "HTTP/1.1 200 OK\r\nX: caf\u00e9\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
        HTTP_1_0(200, "ok", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        UNTIL_CLOSE(200, "ok", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"),
        CHUNKS(200, "ok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n01\r\no\r\n1;a=b\r\nk\r\n0\r\n\r\n"),
        TRAILERS(200, "ok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n"),
        INTERIMS(
                200,
                "ok",
                "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 102 \r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
        NO_CONTENT(204, "", "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"),
        BYTES_AFTER_ANSWER(200, "ok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 000 x\r\n\r\n");

        private final int status;
        private final String body;
        private final String text;

        SoundAnswer(int status, String body, String text) {
            this.status = status;
            this.body = body;
            this.text = text;
        }
    }

    private interface Answer {
        void write(RawServer.Connection connection) throws IOException, InterruptedException;
    }

    private static void service(String name, Answer answer) throws Exception {
        RawServer server = RawServer.start(0, (request, connection) -> {
            if (request.path().equals("/health")) {
                connection.answer(200, "", "");
            } else {
                answer.write(connection);
            }
        });
        SERVERS.add(server);
        cluster.serviceAt("http://127.0.0.1:" + server.address().getPort(), name, "kita", name);
    }

    @AfterAll
    static void tearDown() {
        cluster.close();
        SERVERS.forEach(RawServer::close);
    }

    private static ContentResponse ask(String service) throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/services/" + service + "/x";
        return Callers.post(cluster.http(), url, "status", "{}", Map.of()).send();
    }

    @ParameterizedTest
    @EnumSource
    void callerLearnsThatThereIsNoAnswer(BrokenAnswer broken) throws Exception {
        try {
            ContentResponse response = ask(broken.name());
            assertEquals(502, response.getStatus(), response.getContentAsString());
        } catch (ExecutionException e) {
            // The head had been passed on; the connection was closed before the end of the answer.
        }
        assertEquals(SOUND, ask(SOUND).getContentAsString());
    }

    @ParameterizedTest
    @EnumSource
    void callerGetsASoundAnswer(SoundAnswer sound) throws Exception {
        ContentResponse response = ask(sound.name());
        assertEquals(sound.status, response.getStatus(), response.getContentAsString());
        assertEquals(sound.body, response.getContentAsString());
    }
}
