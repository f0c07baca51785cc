package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.GatewayFixture;
import org.tanagerhinge.standin.relay.ServerStandin;

/**
 * Guards against gateways that a crowd of callers ends or makes unreachable for others: with requests of legal size that
 * never become complete, with answers that nobody reads, or with connections alone.
 */
class AbusiveCallersTest {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int HEAD_BYTES = 16_384;
    /** Memory of the smallest host that gateways run on. */
    private static final long HOST_BYTES = 280L << 20;

    private static final int HOST_DESCRIPTORS = 4_096;
    private static final int FEW_DESCRIPTORS = 300;
    private static final int TRIES = 3;
    /** Several times the grace time of a stop. */
    private static final long STOP_MILLIS = 30_000;

    private static final int SLOW_PIECES = 20;
    private static final long SLOW_PAUSE_MILLIS = 100;
    private static final int LARGE_ANSWER_BYTES = 200_000;

    @TempDir
    private Path folder;

    private final CountDownLatch finished = new CountDownLatch(1);
    private GatewayFixture fixture;
    private GatewayFixture.Ports ports;
    private GatewayProcess process;

    /** What each connection of a crowd sends, and to which listener. */
    private enum Kind {
        BODY_WITH_LENGTH(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            out.write(CallerCrowd.bytes(
                    head(number, "key-1", "/plain/") + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n"));
            CallerCrowd.unfinished(out, MAX_BODY_BYTES);
        }),
        BODY_IN_PIECES(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            out.write(CallerCrowd.bytes(
                    head(number, "key-1", "/plain/") + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n"));
            for (int i = 0; i < MAX_BODY_BYTES / 8_192 - 1; i++) {
                out.write(CallerCrowd.BLOCK, 0, 8_192);
            }
        }),
        BODY_IN_LARGE_CHUNKS(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            out.write(CallerCrowd.bytes(head(number, "key-1", "/plain/") + "Transfer-Encoding: chunked\r\n\r\n"));
            CallerCrowd.repeat(out, CallerCrowd.LARGE_CHUNK, MAX_BODY_BYTES / 60_000 - 1);
        }),
        BODY_IN_CHUNKS_OF_ONE_BYTE(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            out.write(CallerCrowd.bytes(head(number, "key-1", "/plain/") + "Transfer-Encoding: chunked\r\n\r\n"));
            CallerCrowd.repeat(out, CallerCrowd.SMALL_CHUNKS, 1_024);
        }),
        BODY_OF_UNKNOWN_KEY(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            out.write(CallerCrowd.bytes(
                    head(number, "none", "/plain/") + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n"));
            CallerCrowd.unfinished(out, MAX_BODY_BYTES);
        }),
        BODY_WITHOUT_ROUTE(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            out.write(CallerCrowd.bytes(head(number, "key-1", "/none/") + "Transfer-Encoding: chunked\r\n\r\n"));
            CallerCrowd.repeat(out, CallerCrowd.LARGE_CHUNK, MAX_BODY_BYTES / 60_000 - 1);
        }),
        SHORT_HEADER_LINES(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            String head = head(number, "key-1", "/plain/");
            out.write(CallerCrowd.bytes(head + "a:\r\n".repeat((HEAD_BYTES - head.length()) / 4)));
        }),
        SHORT_TRAILER_LINES(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            out.write(CallerCrowd.bytes(head(number, "key-1", "/plain/") + "Transfer-Encoding: chunked\r\n\r\n0\r\n"
                    + "a:\r\n".repeat(HEAD_BYTES / 4 - 1)));
        }),
        REQUESTS_WHILE_ONE_RUNS(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            out.write(CallerCrowd.bytes(head(number, "key-1", "/stuck/") + "\r\n"));
            out.write(CallerCrowd.bytes("GET / HTTP/1.1\r\na:\r\nHost:a\r\n\r\n".repeat(4_000)));
        }),
        HEADS_WHILE_ONE_RUNS(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            String head = head(number, "key-1", "/plain/");
            out.write(CallerCrowd.bytes(head(number, "key-1", "/stuck/") + "\r\n"));
            out.write(CallerCrowd.bytes((head + "a:\r\n".repeat((HEAD_BYTES - head.length()) / 4 - 1) + "\r\n")
                    .repeat(4)));
        }),
        ANSWERS_NOT_READ(300, GatewayFixture.Ports::listenPort, (number, out) -> {
            CallerCrowd.repeat(out, CallerCrowd.bytes(head(number, "key-1", "/large/") + "\r\n"), 200);
        }),
        METRICS_NOT_READ(300, GatewayFixture.Ports::statusPort, (number, out) -> {
            CallerCrowd.repeat(out, CallerCrowd.bytes("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"), 4_000);
        }),
        HEADS_OF_STATUS(600, GatewayFixture.Ports::statusPort, (number, out) -> {
            out.write(CallerCrowd.bytes("GET /metrics HTTP/1.1\r\nHost: a\r\n" + "a:\r\n".repeat(2_000)));
        }),
        BODIES_OF_PEERS(300, GatewayFixture.Ports::peerPort, (number, out) -> {
            out.write(CallerCrowd.bytes("POST /usage-counts HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n"));
            CallerCrowd.unfinished(out, 1 << 20);
        });

        private final int connections;
        private final ToIntFunction<GatewayFixture.Ports> port;
        private final CallerCrowd.Script script;

        Kind(int connections, ToIntFunction<GatewayFixture.Ports> port, CallerCrowd.Script script) {
            this.connections = connections;
            this.port = port;
            this.script = script;
        }
    }

    private static String head(int number, String key, String path) {
        return "POST " + path + number + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token " + key + "\r\n"
                + PlatformNames.ATTEMPT_ID + ": crowd-" + number + "\r\n" + PlatformNames.DEADLINE + ": 20000\r\n";
    }

    @BeforeEach
    void setUp() throws IOException {
        fixture = GatewayFixture.open("shop.example");
        fixture.route("/stuck/", "unsafe", "stuck");
        fixture.route("/large/", "safe", "large");
        fixture.server("p-1", "plain", ServerStandin.plain(200, "whole"));
        fixture.server("s-1", "stuck", (server, request, connection) -> finished.await());
        fixture.server("l-1", "large", ServerStandin.plain(200, "b".repeat(LARGE_ANSWER_BYTES)));
        fixture.publish();
        ports = fixture.settings(folder.resolve("gateway.ini"), "gateway-a");
    }

    @AfterEach
    void tearDown() {
        finished.countDown();
        process.kill();
        fixture.close();
    }

    private Path log() throws IOException {
        return Files.createFile(folder.resolve("gateway.log"));
    }

    private void assertOrdinaryCallerIsAnswered(String id) throws Exception {
        RawCaller.Answer answer = null;
        for (int attempt = 1; attempt <= TRIES; attempt++) {
            try (RawCaller caller =
                    RawCaller.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort()))) {
                answer = caller.exchange(RawCaller.request("POST", "/plain/" + id, id + "-" + attempt, "", "{}"));
            }
            if (answer.status() == 200) {
                assertTrue(answer.whole());
                return;
            }
            String retryAfter = answer.header("Retry-After");
            assertTrue(answer.status() == 503 && !retryAfter.isEmpty(), answer.toString());
            Thread.sleep((long) (1000 * Double.parseDouble(retryAfter)));
        }
        assertEquals(200, answer.status());
    }

    private void assertWithin(ProcessUsage usage, int maxDescriptors) throws IOException {
        assertTrue(process.alive(), process.output());
        assertTrue(usage.peakBytes() <= HOST_BYTES, "peak memory of " + usage.peakBytes() + " bytes");
        assertTrue(usage.peakDescriptors() < maxDescriptors, usage.peakDescriptors() + " descriptors");
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void othersAreAnswered(Kind kind) throws Exception {
        process = GatewayProcess.start(folder.resolve("gateway.ini"), log());
        fixture.awaitReady(ports);
        try (ProcessUsage usage = process.usage(kind.port.applyAsInt(ports))) {
            try (CallerCrowd crowd = CallerCrowd.send(kind.port.applyAsInt(ports), kind.connections, kind.script)) {
                crowd.awaitSettled();
                assertOrdinaryCallerIsAnswered("beside");
                fixture.awaitReady(ports);
            }
            assertOrdinaryCallerIsAnswered("afterwards");
            assertWithin(usage, HOST_DESCRIPTORS);
        }
    }

    /** Guards against connections that take all descriptors, so that none is left for servers and other callers. */
    @ParameterizedTest
    @EnumSource
    void connectionsLeaveDescriptorsForOthers(ConnectionState state) throws Exception {
        process = GatewayProcess.start(folder.resolve("gateway.ini"), log(), FEW_DESCRIPTORS);
        fixture.awaitReady(ports);
        int port = state.port.applyAsInt(ports);
        try (ProcessUsage usage = process.usage(port)) {
            try (CallerCrowd crowd = CallerCrowd.send(port, 2 * FEW_DESCRIPTORS, state.script)) {
                crowd.awaitSettled();
                assertOrdinaryCallerIsAnswered("beside");
                fixture.awaitReady(ports);
            }
            assertOrdinaryCallerIsAnswered("afterwards");
            assertWithin(usage, FEW_DESCRIPTORS);
        }
    }

    /** What the connections that take descriptors have sent. */
    private enum ConnectionState {
        SILENT(GatewayFixture.Ports::listenPort, (number, out) -> {}),
        HEAD_IN_PART(
                GatewayFixture.Ports::listenPort,
                (number, out) -> out.write(CallerCrowd.bytes(head(number, "key-1", "/plain/")))),
        SILENT_AT_STATUS(GatewayFixture.Ports::statusPort, (number, out) -> {}),
        SILENT_AT_PEERS(GatewayFixture.Ports::peerPort, (number, out) -> {});

        private final ToIntFunction<GatewayFixture.Ports> port;
        private final CallerCrowd.Script script;

        ConnectionState(ToIntFunction<GatewayFixture.Ports> port, CallerCrowd.Script script) {
            this.port = port;
            this.script = script;
        }
    }

    /** Guards against a stop that hangs, or that waits to be killed, while a crowd is connected. */
    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"BODY_WITH_LENGTH", "SHORT_HEADER_LINES", "REQUESTS_WHILE_ONE_RUNS", "ANSWERS_NOT_READ"})
    void stopEndsWhileTheCrowdIsConnected(Kind kind) throws Exception {
        process = GatewayProcess.start(folder.resolve("gateway.ini"), log());
        fixture.awaitReady(ports);
        try (CallerCrowd crowd = CallerCrowd.send(kind.port.applyAsInt(ports), kind.connections, kind.script)) {
            crowd.awaitSettled();
            process.signal(GatewayProcess.Signal.TERM);
            assertTrue(process.awaitEnd(STOP_MILLIS), process.output());
            assertEquals(0, process.exitCode());
        }
    }

    /** A request that is unusual but inside the limits. */
    private enum UnusualRequest {
        LARGE_BODY(head(0, "key-1", "/plain/") + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n"
                + "b".repeat(MAX_BODY_BYTES)),
        CHUNKS_OF_ONE_BYTE(head(0, "key-1", "/plain/") + "Transfer-Encoding: chunked\r\n\r\n"
                + "1\r\nb\r\n".repeat(MAX_BODY_BYTES) + "0\r\n\r\n"),
        SHORT_HEADER_LINES(head(0, "key-1", "/plain/") + "a:\r\n".repeat(4_000) + "\r\n"),
        LONG_REQUEST_LINE(head(0, "key-1", "/plain/" + "a".repeat(15_000)) + "\r\n"),
        LONG_HEADER_LINE(head(0, "key-1", "/plain/") + "A: " + "a".repeat(15_000) + "\r\n\r\n");

        private final byte[] bytes;

        UnusualRequest(String text) {
            this.bytes = CallerCrowd.bytes(text);
        }
    }

    /** Guards against limits that a single request meets although its head and body are within the limits. */
    @Test
    void unusualRequestsInsideTheLimitsAreServed() throws Exception {
        process = GatewayProcess.start(folder.resolve("gateway.ini"), log());
        fixture.awaitReady(ports);
        for (UnusualRequest request : UnusualRequest.values()) {
            try (RawCaller caller =
                    RawCaller.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort()))) {
                caller.send(request.bytes);
                RawCaller.Answer answer = caller.read();
                assertEquals(200, answer.status(), request + " gets " + answer);
            }
        }
    }

    /** Guards against a bound that takes a slow body for one that never ends. */
    @Test
    void slowBodyIsServed() throws Exception {
        process = GatewayProcess.start(folder.resolve("gateway.ini"), log());
        fixture.awaitReady(ports);
        try (RawCaller caller =
                RawCaller.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort()))) {
            caller.send(head(0, "key-1", "/plain/") + "Content-Length: " + SLOW_PIECES * CallerCrowd.BLOCK.length
                    + "\r\n\r\n");
            for (int i = 0; i < SLOW_PIECES; i++) {
                Thread.sleep(SLOW_PAUSE_MILLIS);
                caller.send(CallerCrowd.BLOCK);
            }
            assertEquals(200, caller.read().status());
        }
    }
}
