package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.agent.AgentMain;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.bench.relay.CallerCrowd;
import org.tanagerhinge.bench.relay.ProcessUsage;
import org.tanagerhinge.router.RouterMain;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.FreePorts;

/**
 * Guards against routers and agents that a crowd of callers ends or makes unreachable for others, with requests or packets of
 * legal size that never become complete.
 */
class AbusiveCallersOfRoutersTest {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int HEAD_BYTES = 16_000;
    /** Memory of the hosts that routers run on, and of those of backend servers. */
    private static final long ROUTER_HOST_BYTES = 430L << 20;

    private static final long AGENT_HOST_BYTES = 362L << 20;
    private static final int HOST_DESCRIPTORS = 4_096;
    private static final int FEW_DESCRIPTORS = 300;
    private static final int TRIES = 3;
    private static final int GREETING_MILLIS = 20_000;
    /** Bytes that a stranger sends one by one, for longer than a router waits for a greeting. */
    private static final int TRICKLED_BYTES = 60;

    private static final long TRICKLE_MILLIS = 1_000;

    @TempDir
    private Path folder;

    private LocalCluster cluster;
    private Process process;
    private int port;

    /** What each connection of a crowd sends to a router. */
    private enum Kind {
        BODY_WITH_LENGTH(200, (number, out) -> {
            out.write(CallerCrowd.bytes(head() + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n"));
            CallerCrowd.unfinished(out, MAX_BODY_BYTES);
        }),
        BODY_IN_LARGE_CHUNKS(200, (number, out) -> {
            out.write(CallerCrowd.bytes(head() + "Transfer-Encoding: chunked\r\n\r\n"));
            CallerCrowd.repeat(out, CallerCrowd.LARGE_CHUNK, MAX_BODY_BYTES / 60_000 - 1);
        }),
        BODY_IN_CHUNKS_OF_ONE_BYTE(200, (number, out) -> {
            out.write(CallerCrowd.bytes(head() + "Transfer-Encoding: chunked\r\n\r\n"));
            CallerCrowd.repeat(out, CallerCrowd.SMALL_CHUNKS, 1_024);
        }),
        BODY_OF_UNKNOWN_KEY(200, (number, out) -> {
            out.write(CallerCrowd.bytes(
                    head().replace(Callers.KEY, "none") + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n"));
            CallerCrowd.unfinished(out, MAX_BODY_BYTES);
        }),
        SHORT_HEADER_LINES(
                600, (number, out) -> out.write(CallerCrowd.bytes(head() + "a:b\r\n".repeat(HEAD_BYTES / 5 - 50)))),
        ANSWERS_NOT_READ(200, (number, out) -> {
            CallerCrowd.repeat(out, CallerCrowd.bytes("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"), 4_000);
        });

        private final int connections;
        private final CallerCrowd.Script script;

        Kind(int connections, CallerCrowd.Script script) {
            this.connections = connections;
            this.script = script;
        }
    }

    private static String head() {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + Callers.KEY
                + "\r\nX-Tanagerhinge-Profile: chat\r\nContent-Type: application/json\r\n";
    }

    @BeforeEach
    void setUp() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT)
                .profiles(Callers.profiles())
                .engine("engine-1", "kita", EngineModel.small());
    }

    @AfterEach
    void tearDown() {
        process.destroyForcibly();
        cluster.close();
    }

    /** Starts a program with the options of {@code bin/run-java}. */
    private void start(Class<?> program, int maxDescriptors, String settings) throws IOException {
        Path file = Files.writeString(folder.resolve("settings.ini"), settings);
        process = new ProcessBuilder(List.of(
                        "bash",
                        "-c",
                        "ulimit -n " + maxDescriptors + " && exec \"$@\"",
                        "program",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx256m",
                        "--enable-native-access=ALL-UNNAMED",
                        "--sun-misc-unsafe-memory-access=allow",
                        "-cp",
                        System.getProperty("java.class.path"),
                        program.getName(),
                        "--config",
                        file.toString()))
                .redirectErrorStream(true)
                .redirectOutput(log().toFile())
                .start();
    }

    private Path log() {
        return folder.resolve("log");
    }

    private void startRouter() throws IOException {
        startRouter(HOST_DESCRIPTORS);
    }

    private void startRouter(int maxDescriptors) throws IOException {
        port = FreePorts.next();
        start(RouterMain.class, maxDescriptors, """
                [router]
                name = router-1
                failure_domain = kita
                listen = 127.0.0.1:%d
                [platform]
                url = %s
                [security]
                shared_secret = %s
                """.formatted(
                        port, cluster.platform().url(), LocalCluster.SECRET_TEXT));
        awaitReady();
    }

    private void awaitReady() {
        LocalCluster.await(() -> {
            try {
                return cluster.http()
                                .GET("http://127.0.0.1:" + port + "/readyz")
                                .getStatus()
                        == 200;
            } catch (Exception e) {
                return false;
            }
        });
    }

    private void assertOrdinaryCallerIsAnswered() throws Exception {
        ContentResponse response = null;
        for (int attempt = 1; attempt <= TRIES; attempt++) {
            response = Callers.post(
                            cluster.http(),
                            "http://127.0.0.1:" + port + "/v1/chat/completions",
                            "chat",
                            Callers.completion("hello [length 3]", true),
                            Map.of())
                    .send();
            if (response.getStatus() == 200) {
                Callers.text(response);
                return;
            }
            String retryAfter = response.getHeaders().get("Retry-After");
            assertTrue(response.getStatus() == 503 && retryAfter != null, response.toString());
            Thread.sleep(1000L * Integer.parseInt(retryAfter));
        }
        assertEquals(200, response.getStatus());
    }

    private void assertWithin(ProcessUsage usage, long maxBytes) throws IOException {
        assertWithin(usage, maxBytes, HOST_DESCRIPTORS);
    }

    private void assertWithin(ProcessUsage usage, long maxBytes, int maxDescriptors) throws IOException {
        assertTrue(process.isAlive(), Files.readString(log()));
        assertTrue(usage.peakBytes() <= maxBytes, "peak memory of " + usage.peakBytes() + " bytes");
        assertTrue(usage.peakDescriptors() < maxDescriptors, usage.peakDescriptors() + " descriptors");
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void othersAreAnswered(Kind kind) throws Exception {
        startRouter();
        try (ProcessUsage usage = ProcessUsage.of(process.pid(), port)) {
            try (CallerCrowd crowd = CallerCrowd.send(port, kind.connections, kind.script)) {
                crowd.awaitSettled();
                assertOrdinaryCallerIsAnswered();
                awaitReady();
            }
            assertOrdinaryCallerIsAnswered();
            assertWithin(usage, ROUTER_HOST_BYTES);
        }
    }

    /** Guards against limits that a single request meets although its body is within the limit. */
    @Test
    void bodyInChunksOfOneByteIsServed() throws Exception {
        startRouter();
        String message = "hello [length 3]" + " ".repeat(100_000);
        StringBuilder request = new StringBuilder(head() + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (char c : Callers.completion(message, true).toCharArray()) {
            request.append("1\r\n").append(c).append("\r\n");
        }
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(CallerCrowd.bytes(request + "0\r\n\r\n"));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("[DONE]"), answer);
        }
    }

    /** Guards against connections that take all descriptors, so that none is left for agents and other callers. */
    @Test
    void silentConnectionsLeaveDescriptorsForOthers() throws Exception {
        startRouter(FEW_DESCRIPTORS);
        try (ProcessUsage usage = ProcessUsage.of(process.pid(), port)) {
            try (CallerCrowd crowd = CallerCrowd.send(port, 2 * FEW_DESCRIPTORS, (number, out) -> {})) {
                crowd.awaitSettled();
                assertOrdinaryCallerIsAnswered();
                awaitReady();
            }
            assertOrdinaryCallerIsAnswered();
            assertWithin(usage, ROUTER_HOST_BYTES, FEW_DESCRIPTORS);
        }
    }

    /** Guards against packets of hosts that have not proved that they are routers, which fill the memory of an agent. */
    @Test
    void agentStaysInTouchWhileStrangersSendPackets() throws Exception {
        int listen = startAgent(HOST_DESCRIPTORS);
        try (ProcessUsage usage = ProcessUsage.of(process.pid(), listen)) {
            try (CallerCrowd crowd = CallerCrowd.send(listen, 100, (number, out) -> {
                out.write(new byte[] {1, -1, -1, -1});
                CallerCrowd.repeat(out, CallerCrowd.BLOCK, 440);
            })) {
                crowd.awaitSettled();
                assertAgentGreets(listen);
            }
            awaitReady();
            assertWithin(usage, AGENT_HOST_BYTES);
        }
    }

    /** Guards against strangers that keep their connections open byte by byte until no router can connect. */
    @Test
    void agentStaysInTouchWhileStrangersTakeTheirTime() throws Exception {
        int listen = startAgent(FEW_DESCRIPTORS);
        try (ProcessUsage usage = ProcessUsage.of(process.pid(), listen)) {
            CountDownLatch begun = new CountDownLatch(FEW_DESCRIPTORS);
            try (CallerCrowd crowd = CallerCrowd.send(listen, 2 * FEW_DESCRIPTORS, (number, out) -> {
                out.write(new byte[] {0, 0, 1, 0});
                begun.countDown();
                for (int i = 0; i < TRICKLED_BYTES; i++) {
                    sleep(TRICKLE_MILLIS);
                    out.write(0);
                }
            })) {
                begun.await();
                assertAgentGreets(listen);
            }
            awaitReady();
            assertWithin(usage, AGENT_HOST_BYTES, FEW_DESCRIPTORS);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted", e);
        }
    }

    private void assertAgentGreets(int listen) throws IOException {
        awaitReady();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", listen), GREETING_MILLIS);
            socket.setSoTimeout(GREETING_MILLIS);
            assertTrue(socket.getInputStream().read() >= 0, "the agent doesn't greet a router");
        }
    }

    /** Starts an agent, and returns the port where routers connect. */
    private int startAgent(int maxDescriptors) throws IOException {
        int listen = FreePorts.next();
        port = FreePorts.next();
        start(AgentMain.class, maxDescriptors, """
                [agent]
                name = engine-2
                listen = 127.0.0.1:%d
                metrics = 127.0.0.1:%d
                [backend]
                url = %s
                [platform]
                url = %s
                [security]
                shared_secret = %s
                """.formatted(
                        listen,
                        port,
                        cluster.engine("engine-1").url(),
                        cluster.platform().url(),
                        LocalCluster.SECRET_TEXT));
        awaitReady();
        return listen;
    }
}
