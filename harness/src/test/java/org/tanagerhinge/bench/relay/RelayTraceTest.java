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
import org.tanagerhinge.cli.trace.Trace;
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

    private Trace trace(String id) throws Exception {
        copy.close();
        return Trace.of(
                id,
                List.of(LogFile.of(
                        written.toString(StandardCharsets.UTF_8).lines().toList())));
    }

    private static List<String> events(Trace trace) {
        return trace.ofRequest().stream().map(LogRecord::event).toList();
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
            RelayScene.await(() -> engine.seen().size() == 2);
            Thread.sleep(2 * URGENT_TARGET_MILLIS);
            assertEquals(503, ask(gateway, "POST", "/plan/x", "plan-refused").status());
        } finally {
            over.countDown();
        }
        Trace trace = trace("plan-refused");
        assertEquals("refused", events(trace).get(events(trace).size() - 1));
        assertTrue(trace.sentence().contains("was answered 503"), trace.sentence());
        LogRecord refused = trace.ofRequest().get(trace.ofRequest().size() - 1);
        assertEquals("s-1", refused.text(LogField.SERVER), "where it would have gone");
        assertTrue(refused.text(LogField.WHY).contains("overdue"), refused.text());
        assertTrue(trace.sentence().contains("it did not run, the caller may come back after"), trace.sentence());
    }

    @Test
    void aRequestWhoseOutcomeIsUnknownAfterALostAnswer() throws Exception {
        scene.server("s-1", "plain", (server, request, connection) -> connection.reset());
        GatewayDaemon gateway = scene.gateway();
        assertEquals(502, ask(gateway, "POST", "/once/x", "lost").status());
        Trace trace = trace("lost");
        assertEquals(List.of("routed", "sent", "attempt_failed", "refused"), events(trace));
        LogRecord routed = trace.ofRequest().get(0);
        assertEquals("coop", routed.text(LogField.WORKSPACE));
        assertEquals(3, routed.number(LogField.CONFIG));
        assertEquals("s-1", trace.ofRequest().get(1).text(LogField.SERVER));
        assertTrue(trace.sentence().contains("whether it ran is not known"), trace.sentence());
        assertTrue(trace.sentence().contains("attempt 1 at s-1 failed"), trace.sentence());
    }

    @Test
    void aStreamThatWasCutAndOneThatWasLate() throws Exception {
        ServerStandin server = scene.server("s-1", "model", ServerStandin.cutWithin(3));
        GatewayDaemon gateway = scene.gateway();
        ask(gateway, "POST", "/ask/x", "cut");
        server.script(ServerStandin.events(3, 200));
        assertEquals(200, ask(gateway, "POST", "/plan/x", "late").status());
        Trace cut = trace("cut");
        assertEquals(List.of("routed", "sent", "attempt_failed", "cut"), events(cut));
        assertTrue(cut.sentence().contains("after event 2 of its stream"), cut.sentence());
        Trace late = Trace.of(
                "late",
                List.of(LogFile.of(
                        written.toString(StandardCharsets.UTF_8).lines().toList())));
        assertTrue(late.sentence().contains("late: first event after"), late.sentence());
    }

    /** What safe requests do on their way is told too: the failed attempt, the repeat, and the whole answer. */
    @Test
    void aRequestThatWasRepeated() throws Exception {
        ServerStandin bad = scene.server("s-1", "plain", (server, request, connection) -> connection.reset());
        scene.server("s-2", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        int tries = 0;
        while (bad.seen().isEmpty()) {
            assertEquals(200, ask(gateway, "GET", "/safe/x", "safe-" + tries).status());
            tries++;
        }
        Trace trace = trace("safe-" + (tries - 1));
        assertEquals(List.of("routed", "sent", "attempt_failed", "repeated", "sent", "ended"), events(trace));
        assertEquals(2, trace.ofRequest().get(5).number(LogField.ATTEMPT));
    }
}
