package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.bench.BrokenAnswer;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.PlatformFixture;
import org.tanagerhinge.standin.relay.RawServer;

/**
 * Guards against bytes that are no HTTP answer but are taken for a server's answer to its health check, so that an answer
 * without a length passes for whole.
 */
class HealthAnswerTest {
    private static final long PAUSE_MILLIS = 20;

    private static RelayScene scene;
    private static GatewayDaemon gateway;
    private static final List<RawServer> SERVERS = new ArrayList<>();

    /** Answers to a health check that HTTP/1.1 allows, and that name the instance. */
    private enum SoundHealth {
        HEALTHY("HTTP/1.1 200 OK\r\n@Content-Length: 0\r\n\r\n"),
        FULL("HTTP/1.1 503 Full\r\n@Content-Length: 2\r\n\r\nno"),
        CHUNKS("HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
        UNTIL_CLOSE("HTTP/1.1 200 OK\r\n@\r\nok"),
        NO_CONTENT("HTTP/1.1 204 No Content\r\n@\r\n"),
        AFTER_INTERIM("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n@Content-Length: 0\r\n\r\n");

        private final String text;

        SoundHealth(String text) {
            this.text = text;
        }

        byte[] bytes(String headers) {
            return text.replace("@", headers).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private interface HealthAnswer {
        byte[] bytes(String headers);
    }

    @BeforeAll
    static void setUp() throws IOException {
        scene = new RelayScene();
        scene.platform.workspace("coop", "key-1");
        for (BrokenAnswer answer : BrokenAnswer.values()) {
            server(answer.name(), answer::bytes);
        }
        for (SoundHealth answer : SoundHealth.values()) {
            server(answer.name(), answer::bytes);
        }
        scene.platform.publish();
        gateway = scene.gateway();
    }

    private static void server(String id, HealthAnswer health) {
        RawServer server = RawServer.start(0, (request, connection) -> {
            boolean check = request.path().equals(PlatformFixture.HEALTH_PATH);
            String headers = check
                    ? PlatformNames.INSTANCE_ID + ": " + id + "\r\n"
                    : EndingServer.headers(request.header(PlatformNames.ATTEMPT_ID));
            connection.out().write(check ? health.bytes(headers) : answerWithoutLength(headers));
            Thread.sleep(PAUSE_MILLIS);
            connection.socket().close();
        });
        SERVERS.add(server);
        scene.platform.service(id, 0);
        scene.platform.route("/" + id + "/", "unsafe", id);
        scene.platform.register(id, server.address(), id);
    }

    private static byte[] answerWithoutLength(String headers) {
        return ("HTTP/1.1 200 OK\r\n" + headers + "\r\nwhole").getBytes(StandardCharsets.ISO_8859_1);
    }

    @AfterAll
    static void tearDown() {
        scene.close();
        SERVERS.forEach(RawServer::close);
    }

    private static RawCaller.Answer ask(String id) throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("POST", "/" + id + "/x", "attempt-1", "", "{}"));
        }
    }

    @ParameterizedTest
    @EnumSource
    void malformedHealthAnswerDoesNotShowThatTheServerRuns(BrokenAnswer health) throws IOException {
        assertEquals(502, ask(health.name()).status());
    }

    @ParameterizedTest
    @EnumSource
    void soundHealthAnswerShowsThatTheServerRuns(SoundHealth health) throws IOException {
        RawCaller.Answer answer = ask(health.name());
        assertEquals(200, answer.status(), answer.toString());
        assertEquals("whole", answer.body());
    }
}
