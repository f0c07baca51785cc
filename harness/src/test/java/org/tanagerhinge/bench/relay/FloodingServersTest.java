package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.standin.relay.GatewayFixture;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against servers that end a gateway, and with it the requests of others, with bytes that it keeps. */
class FloodingServersTest {
    private static final int CALLERS = 200;
    private static final int BLOCK_BYTES = 16_384;
    private static final long SLOW_INTERVAL_MILLIS = 100;
    /** Memory of the smallest host that gateways run on. */
    private static final long HOST_BYTES = 280L << 20;

    private static final long SETTLED_NANOS = TimeUnit.SECONDS.toNanos(2);

    @TempDir
    private Path folder;

    private final AtomicInteger started = new AtomicInteger();
    private final AtomicLong lastProgressNanos = new AtomicLong(System.nanoTime());
    private volatile boolean finished;
    private GatewayFixture fixture;
    private GatewayFixture.Ports ports;
    private GatewayProcess process;

    /** What a server sends: a start, and then a text again and again. The headers of a sound response replace {@code @}. */
    private enum Kind {
        HEADERS("/stream/", "HTTP/1.1 200 OK\r\n", "a:\r\n", true),
        HEADERS_SLOWLY("/stream/", "HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(16_000), "a:\r\n", false),
        INTERIM_HEADERS_SLOWLY("/stream/", "HTTP/1.1 103 Early\r\n" + "a:\r\n".repeat(16_000), "a:\r\n", false),
        TRAILERS_SLOWLY(
                "/stream/",
                "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n0\r\n" + "a:\r\n".repeat(16_000),
                "a:\r\n",
                false),
        CHUNKS("/stream/", "HTTP/1.1 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", true),
        EVENT("/stream/", "HTTP/1.1 200 OK\r\n@\r\nid: 1\ndata: ", "b", true),
        EVENT_SLOWLY("/stream/", "HTTP/1.1 200 OK\r\n@\r\nid: 1\ndata: " + "b".repeat(1_000_000), "b", false),
        BODY_SLOWLY("/plain/", "HTTP/1.1 200 OK\r\n@\r\n" + "b".repeat(250_000), "b", false);

        private final String path;
        private final String start;
        private final String repeated;
        private final boolean fast;

        Kind(String path, String start, String repeated, boolean fast) {
            this.path = path;
            this.start = start;
            this.repeated = repeated;
            this.fast = fast;
        }
    }

    private ServerStandin.ResponseScript script(Kind kind) {
        byte[] block = kind.repeated
                .repeat(kind.fast ? BLOCK_BYTES / kind.repeated.length() : 1)
                .getBytes(StandardCharsets.US_ASCII);
        return (server, request, connection) -> {
            byte[] start = kind.start.replace("@", server.headers(request)).getBytes(StandardCharsets.US_ASCII);
            for (int at = 0; at < start.length; at += BLOCK_BYTES) {
                connection.out().write(start, at, Math.min(BLOCK_BYTES, start.length - at));
                lastProgressNanos.set(System.nanoTime());
            }
            started.incrementAndGet();
            while (!finished) {
                connection.out().write(block);
                if (!kind.fast) {
                    Thread.sleep(SLOW_INTERVAL_MILLIS);
                }
            }
        };
    }

    @BeforeEach
    void setUp() throws IOException {
        fixture = GatewayFixture.open("shop.example");
        fixture.route("/sound/", "safe", "sound");
        fixture.server("s-1", "sound", ServerStandin.plain(200, "whole"));
    }

    @AfterEach
    void tearDown() {
        finished = true;
        process.kill();
        fixture.close();
    }

    private void awaitFlood() throws InterruptedException {
        lastProgressNanos.set(System.nanoTime());
        while (started.get() < CALLERS && System.nanoTime() - lastProgressNanos.get() < SETTLED_NANOS) {
            Thread.sleep(20);
        }
    }

    private void assertOthersAreAnswered(String id) throws IOException {
        try (RawCaller caller =
                RawCaller.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort()))) {
            RawCaller.Answer answer = caller.exchange(RawCaller.request("POST", "/sound/x", id, "", "{}"));
            assertEquals(200, answer.status(), answer.toString());
            assertEquals("whole", answer.body());
        }
    }

    @ParameterizedTest
    @EnumSource
    void othersAreAnswered(Kind kind) throws Exception {
        fixture.server("p-1", "plain", script(kind));
        fixture.server("e-1", "model", script(kind));
        fixture.publish();
        ports = fixture.settings(folder.resolve("gateway.ini"), "gateway-a");
        process = GatewayProcess.start(folder.resolve("gateway.ini"), Files.createFile(folder.resolve("gateway.log")));
        fixture.awaitReady(ports);
        try (ProcessUsage usage = process.usage(ports.listenPort())) {
            try (CallerCrowd crowd = CallerCrowd.send(ports.listenPort(), CALLERS, (number, out) -> {
                out.write(
                        CallerCrowd.bytes(RawCaller.request("POST", kind.path + number, "crowd-" + number, "", "{}")));
            })) {
                crowd.awaitSettled();
                awaitFlood();
                assertOthersAreAnswered("beside");
                fixture.awaitReady(ports);
            }
            assertOthersAreAnswered("afterwards");
            assertTrue(process.alive(), process.output());
            String output = process.output();
            assertTrue(!output.contains("OutOfMemoryError"), output);
            assertTrue(usage.peakBytes() <= HOST_BYTES, "peak memory of " + usage.peakBytes() + " bytes");
        }
    }
}
