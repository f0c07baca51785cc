package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.cli.trace.LogFile;
import org.tanagerhinge.cli.trace.LogRecord;
import org.tanagerhinge.cli.trace.RequestTrace;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogSetup;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/** The walks of the operators' page: from the id of a failed request to its cause, by log lines alone. */
class RelayTraceTest {
    private static final int URGENT_TARGET_MILLIS = 50;

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private AutoCloseable copy;
    private RelayScene scene;

    @BeforeEach
    void setUp() {
        copy = LogSetup.copyTo(written);
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.service("model", 8);
        scene.platform.route("/once/", "unsafe", "plain").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.route("/safe/", "safe", "plain");
        scene.platform
                .route("/ask/", "streaming", "model")
                .put("priority", 0)
                .put(PlatformNames.TARGET_LATENCY_MILLIS, URGENT_TARGET_MILLIS);
        scene.platform.route("/plan/", "streaming", "model").put("priority", 3);
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private static RawCaller.Answer ask(GatewayDaemon gateway, String method, String path, String id)
            throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request(method, path, id, "", ""));
        }
    }

    private RequestTrace trace(String id) throws Exception {
        copy.close();
        return RequestTrace.of(
                id,
                List.of(LogFile.of(
                        written.toString(StandardCharsets.UTF_8).lines().toList())));
    }

    private static List<String> events(RequestTrace trace) {
        return trace.requestLines().stream().map(LogRecord::event).toList();
    }

    /** An engine that brings nothing for two urgent requests: the less urgent third has to yield. */
    @Test
    void aRequestRefusedUnderOverload() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        ServerStandin engine = scene.server("s-1", "model", (server, request, connection) -> over.await());
        GatewayDaemon gateway = scene.gateway();
        try (RawCaller first = RawCaller.to(gateway.address());
                RawCaller second = RawCaller.to(gateway.address())) {
            first.send(RawCaller.request("POST", "/ask/x", "urgent-1", "", ""));
            second.send(RawCaller.request("POST", "/ask/x", "urgent-2", "", ""));
            RelayScene.await(() -> engine.receivedRequests().size() == 2);
            Thread.sleep(2 * URGENT_TARGET_MILLIS);
            assertEquals(503, ask(gateway, "POST", "/plan/x", "plan-refused").status());
        } finally {
            over.countDown();
        }
        RequestTrace trace = trace("plan-refused");
        assertEquals("refused", events(trace).get(events(trace).size() - 1));
        assertTrue(trace.summary().contains("was answered 503"), trace.summary());
        LogRecord refused = trace.requestLines().get(trace.requestLines().size() - 1);
        assertEquals("s-1", refused.text(LogField.SERVER), "where it would have gone");
        assertTrue(refused.text(LogField.WHY).contains("overdue"), refused.text());
        assertTrue(trace.summary().contains("it did not run, the caller may retry after"), trace.summary());
    }

    @Test
    void aRequestWhoseOutcomeIsUnknownAfterALostAnswer() throws Exception {
        scene.server("s-1", "plain", (server, request, connection) -> connection.reset());
        GatewayDaemon gateway = scene.gateway();
        assertEquals(502, ask(gateway, "POST", "/once/x", "lost").status());
        RequestTrace trace = trace("lost");
        assertEquals(List.of("routed", "sent", "attempt_failed", "refused"), events(trace));
        LogRecord routed = trace.requestLines().get(0);
        assertEquals("coop", routed.text(LogField.WORKSPACE));
        assertEquals(3, routed.number(LogField.CONFIG));
        assertEquals("s-1", trace.requestLines().get(1).text(LogField.SERVER));
        assertTrue(trace.summary().contains("whether it ran is unknown"), trace.summary());
        assertTrue(trace.summary().contains("attempt 1 at s-1 failed"), trace.summary());
    }

    @Test
    void aStreamThatWasCutAndOneThatWasLate() throws Exception {
        ServerStandin server = scene.server("s-1", "model", ServerStandin.cutWithin(3));
        GatewayDaemon gateway = scene.gateway();
        ask(gateway, "POST", "/ask/x", "cut");
        server.script(ServerStandin.events(3, 200));
        assertEquals(200, ask(gateway, "POST", "/plan/x", "late").status());
        RequestTrace cut = trace("cut");
        assertEquals(List.of("routed", "sent", "attempt_failed", "cut"), events(cut));
        assertTrue(cut.summary().contains("after event 2 of its stream"), cut.summary());
        RequestTrace late = RequestTrace.of(
                "late",
                List.of(LogFile.of(
                        written.toString(StandardCharsets.UTF_8).lines().toList())));
        assertTrue(late.summary().contains("late: first event after"), late.summary());
    }

    /** What safe requests do on their way is told too: the failed attempt, the repeat, and the whole answer. */
    @Test
    void aRequestThatWasRepeated() throws Exception {
        ServerStandin bad = scene.server("s-1", "plain", (server, request, connection) -> connection.reset());
        scene.server("s-2", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        int tries = 0;
        while (bad.receivedRequests().isEmpty()) {
            assertEquals(200, ask(gateway, "GET", "/safe/x", "safe-" + tries).status());
            tries++;
        }
        RequestTrace trace = trace("safe-" + (tries - 1));
        assertEquals(List.of("routed", "sent", "attempt_failed", "repeated", "sent", "ended"), events(trace));
        assertEquals(2, trace.requestLines().get(5).number(LogField.ATTEMPT));
    }
}
