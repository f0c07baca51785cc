package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.standin.relay.GatewayFixture;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Signals to a gateway process cost no answer, whatever its callers do and whenever they come. */
class GatewayStopTest {
    private static final String HOST = "shop.example";
    private static final long GRACE_MILLIS = 8_000;
    private static final int KILOBYTE = 1 << 10;
    private static final int WAITING_CALLERS = 60;
    private static final int LATE_FROM_MILLIS = 200;
    private static final int LATE_STEP_MILLIS = 300;
    private static final int EARLY_MILLIS = 3_000;
    private static final long SLOW_ANSWER_MILLIS = 3_000;
    /** More answers than the kernel takes for a caller that reads nothing. */
    private static final int MAX_UNREAD_ANSWERS = 100;

    @TempDir
    private Path folder;

    private final GatewayFixture fixture = GatewayFixture.open(HOST);
    private GatewayFixture.Ports ports;
    private Path settings;
    private GatewayProcess process;

    @BeforeEach
    void setUp() throws IOException {
        fixture.server("e-1", "model", ServerStandin.events(20, 50));
        fixture.server("p-1", "plain", (server, request, connection) -> {
            int size = Integer.parseInt(request.parameter("size"));
            connection.answer(200, server.headers(request), "x".repeat(size));
        });
        fixture.publish();
        settings = folder.resolve("gateway.ini");
        ports = fixture.settings(settings, "gateway");
    }

    @AfterEach
    void tearDown() throws InterruptedException {
        process.kill();
        process.awaitEnd(GRACE_MILLIS);
        fixture.close();
    }

    private void start() throws IOException {
        process = GatewayProcess.start(settings, Files.createFile(folder.resolve("gateway.log")));
    }

    private void startUntilReady() throws IOException, InterruptedException {
        start();
        fixture.awaitReady(ports);
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort());
    }

    /** Connects as soon as the gateway listens. */
    private RawCaller connectDuringStart() {
        RawCaller[] caller = new RawCaller[1];
        RelayScene.await(() -> {
            try {
                caller[0] = RawCaller.to(address());
                return true;
            } catch (IOException e) {
                return false;
            }
        });
        return caller[0];
    }

    private static String plain(String id, int size) {
        return RawCaller.request("GET", "/plain/" + id + "?size=" + size, id, "", "");
    }

    private static String stream(String id) {
        return RawCaller.request("POST", "/stream/" + id, id, "", "{}");
    }

    private void assertEndsWithinGrace() throws InterruptedException, IOException {
        assertTrue(process.awaitEnd(GRACE_MILLIS), "the process runs on");
        assertEquals(0, process.exitCode(), process.output());
    }

    /** Guards against a process that a signal ends before it handles signals, with the connections that it had accepted. */
    @ParameterizedTest
    @EnumSource(
            value = GatewayProcess.Signal.class,
            names = {"TERM", "HUP"})
    void requestThatIsSentBeforeASignalDuringTheStartIsAnswered(GatewayProcess.Signal signal) throws Exception {
        start();
        try (RawCaller caller = connectDuringStart()) {
            caller.send(stream("attempt-1"));
            process.signal(signal);
            RawCaller.Answer answer = caller.read();
            assertTrue(answer.whole());
            // A gateway that doesn't get its configuration in time refuses the request.
            assertTrue(answer.status() == 200 || answer.status() == 503, answer.body());
        }
        if (signal == GatewayProcess.Signal.HUP) {
            assertTrue(process.alive());
            process.signal(GatewayProcess.Signal.TERM);
        }
        assertEndsWithinGrace();
    }

    /** Guards against a process that a signal ends before its handlers are installed, but that still accepts callers. */
    @ParameterizedTest
    @ValueSource(ints = {20, 35, 50, 65, 80, 100, 130})
    void callersOfAProcessThatASignalEndsBeforeItsStartAreNotAccepted(int afterMillis) throws Exception {
        start();
        Thread.sleep(afterMillis);
        process.signal(GatewayProcess.Signal.TERM);
        long untilNanos = System.nanoTime() + Duration.ofSeconds(1).toNanos();
        while (process.alive() && System.nanoTime() - untilNanos < 0) {
            try (RawCaller caller = RawCaller.to(address())) {
                caller.send(plain("attempt-1", 10));
                assertTrue(caller.read().whole());
            } catch (ConnectException e) {
                Thread.sleep(1);
            }
        }
    }

    /** Guards against a process that ends at once if the signal comes as soon as a server has got its first request. */
    @Test
    void requestThatReachesAServerBeforeTheStartIsCompleteIsAnswered() throws Exception {
        start();
        try (RawCaller caller = connectDuringStart()) {
            FutureTask<RawCaller.Answer> answered = new FutureTask<>(() -> firstPassedOn(caller));
            Thread.ofVirtual().start(answered);
            RelayScene.await(() -> fixture.received("attempt"), Duration.ofNanos(1));
            process.signal(GatewayProcess.Signal.TERM);
            RawCaller.Answer answer = answered.get();
            assertTrue(answer.whole());
            assertEquals(200, answer.status(), answer.body());
        }
        assertEndsWithinGrace();
    }

    /** Sends requests until one is not refused for want of a configuration. */
    private static RawCaller.Answer firstPassedOn(RawCaller caller) throws IOException {
        RawCaller.Answer answer = caller.exchange(stream("attempt-1"));
        for (int i = 2; answer.status() == 503; i++) {
            answer = caller.exchange(stream("attempt-" + i));
        }
        return answer;
    }

    /** Guards against pipelined requests that are dropped by a stop while the answer before them is still being sent. */
    @Test
    void pipelinedRequestsAreAnsweredBeforeAStopClosesTheirConnection() throws Exception {
        startUntilReady();
        try (RawCaller caller = RawCaller.to(address())) {
            caller.send(stream("attempt-1") + stream("attempt-2"));
            RelayScene.await(() -> fixture.received("attempt-1"));
            process.signal(GatewayProcess.Signal.TERM);
            assertTrue(caller.read().whole());
            RawCaller.Answer last = caller.read();
            assertTrue(last.whole());
            assertEquals("close", last.header("connection"));
        }
        assertEndsWithinGrace();
    }

    /** Guards against a stop that closes a connection whose caller is about to use it as it was told that it may. */
    @Test
    void requestAfterAStreamThatBeganBeforeTheStopIsAnswered() throws Exception {
        startUntilReady();
        try (RawCaller caller = RawCaller.to(address())) {
            caller.send(stream("attempt-1"));
            RelayScene.await(() -> fixture.received("attempt-1"));
            RelayScene.sleep(200);
            process.signal(GatewayProcess.Signal.TERM);
            RawCaller.Answer first = caller.read();
            assertTrue(first.whole());
            assertEquals("", first.header("connection"));
            assertEquals("close", caller.exchange(plain("attempt-2", 10)).header("connection"));
        }
        assertEndsWithinGrace();
    }

    /** Guards against a process that ends while one of its callers still sends a request. */
    @Test
    void requestThatIsReadAfterTheListenerHasClosedIsAnswered() throws Exception {
        startUntilReady();
        try (RawCaller quick = RawCaller.to(address());
                RawCaller slow = RawCaller.to(address())) {
            String plain = RawCaller.request("POST", "/plain/attempt-1?size=10", "attempt-1", "", "{}");
            String stream = stream("attempt-2");
            quick.send(plain.substring(0, plain.length() - 1));
            slow.send(stream.substring(0, stream.length() - 1));
            RelayScene.sleep(200);
            process.signal(GatewayProcess.Signal.TERM);
            RelayScene.await(() -> !listens());
            RelayScene.sleep(500);
            quick.send(plain.substring(plain.length() - 1));
            slow.send(stream.substring(stream.length() - 1));
            assertTrue(quick.read().whole());
            RawCaller.Answer answer = slow.read();
            assertTrue(answer.whole());
            assertEquals("close", answer.header("connection"));
        }
        assertEndsWithinGrace();
    }

    /** Guards against a listener that resets the connections that wait in its backlog when it closes. */
    @Test
    void callersThatWaitInTheBacklogWhenTheListenerClosesAreAnswered() throws Exception {
        startUntilReady();
        process.signal(GatewayProcess.Signal.TERM);
        Thread.sleep(1_500);
        process.signal(GatewayProcess.Signal.STOP);
        List<RawCaller> callers = new ArrayList<>();
        for (int i = 0; i < WAITING_CALLERS; i++) {
            RawCaller caller = RawCaller.to(address());
            caller.send(plain("attempt-" + i, 10));
            callers.add(caller);
        }
        Thread.sleep(1_500);
        process.signal(GatewayProcess.Signal.CONT);
        for (RawCaller caller : callers) {
            assertTrue(caller.read().whole());
            caller.close();
        }
        assertEndsWithinGrace();
    }

    private boolean listens() {
        try {
            RawCaller.to(address()).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against a stop that cuts requests at its end which it should not have taken any more. */
    @Test
    void requestThatCannotEndBeforeTheProcessIsRefusedWithATimeToComeBack() throws Exception {
        fixture.server("e-2", "model", ServerStandin.events(20, 500));
        startUntilReady();
        try (RawCaller slow = RawCaller.to(address())) {
            String stream = stream("attempt-1");
            slow.send(stream.substring(0, stream.length() - 1));
            RelayScene.sleep(200);
            process.signal(GatewayProcess.Signal.TERM);
            RelayScene.await(() -> !listens());
            RelayScene.sleep(500);
            slow.send(stream.substring(stream.length() - 1));
            RawCaller.Answer answer = slow.read();
            assertEquals(503, answer.status());
            assertEquals(Integer.toString(ResultCode.ROUTER_STOPPING.number()), answer.header(ResultCode.HEADER));
            assertTrue(Double.parseDouble(answer.header("retry-after")) > 0);
        }
        assertEndsWithinGrace();
    }

    /** A request whose last byte is sent some time after SIGTERM, and what became of it. */
    private record LateRequest(String path, int afterMillis) {
        String id() {
            return "late-" + path.replace("/", "") + "-" + afterMillis + ".";
        }

        /** Returns whether the caller got a whole answer; a stream that began early may still run at the end of the grace. */
        boolean answered(RawCaller caller) throws IOException {
            RawCaller.Answer answer = caller.read();
            return answer.whole() || (path.equals("/stream/") && afterMillis <= EARLY_MILLIS);
        }
    }

    private static List<LateRequest> lateRequests() {
        return IntStream.iterate(
                        LATE_FROM_MILLIS, after -> after < (int) GRACE_MILLIS, after -> after + LATE_STEP_MILLIS)
                .boxed()
                .flatMap(after -> Stream.of("/slow/", "/stream/").map(path -> new LateRequest(path, after)))
                .toList();
    }

    /** Guards against requests that come late in the grace time, are passed on, and are cut without an answer at its end. */
    @Test
    void requestsThatComeLateInTheGraceAreAnsweredOrNotPassedOn() throws Exception {
        fixture.route("/slow/", "unsafe", "slow");
        fixture.server("s-1", "slow", (server, request, connection) -> {
            Thread.sleep(SLOW_ANSWER_MILLIS);
            connection.answer(200, server.headers(request), "slow");
        });
        fixture.server("e-2", "model", ServerStandin.events(20, 500));
        fixture.publish();
        startUntilReady();
        List<FutureTask<Boolean>> answered = new ArrayList<>();
        for (LateRequest late : lateRequests()) {
            RawCaller caller = RawCaller.to(address());
            String request = RawCaller.request("POST", late.path() + late.id(), late.id(), "", "{}");
            caller.send(request.substring(0, request.length() - 1));
            answered.add(new FutureTask<>(() -> {
                Thread.sleep(late.afterMillis());
                try (caller) {
                    caller.send(request.substring(request.length() - 1));
                    return late.answered(caller);
                } catch (IOException e) {
                    return false;
                }
            }));
        }
        RelayScene.sleep(200);
        process.signal(GatewayProcess.Signal.TERM);
        answered.forEach(task -> Thread.ofVirtual().start(task));
        for (int i = 0; i < answered.size(); i++) {
            LateRequest late = lateRequests().get(i);
            assertTrue(answered.get(i).get() || !fixture.received(late.id()), late + " was passed on and not answered");
        }
        assertTrue(process.awaitEnd(GRACE_MILLIS), "the process runs on");
    }

    /** Guards against a process that ends while the last bytes of an answer wait for a slow caller. */
    @Test
    void callerThatReadsLateGetsItsWholeAnswer() throws Exception {
        startUntilReady();
        int answers = 0;
        try (Socket socket = connectWithSmallBuffer()) {
            RawCaller caller = RawCaller.of(socket, socket.getInputStream());
            while (answers < MAX_UNREAD_ANSWERS && gauge("caller_unsent_bytes") == 0) {
                String id = "attempt-" + answers + ".";
                caller.send(plain(id, 250 * KILOBYTE));
                RelayScene.await(() -> fixture.received(id) && gauge("requests_in_progress") == 0);
                answers++;
            }
            assertTrue(gauge("caller_unsent_bytes") > 0);
            process.signal(GatewayProcess.Signal.TERM);
            RelayScene.await(() -> !listens());
            RelayScene.sleep(1_000);
            for (int i = 0; i < answers; i++) {
                assertTrue(caller.readWithoutBody().whole());
            }
        }
        assertEndsWithinGrace();
    }

    private Socket connectWithSmallBuffer() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(8 * KILOBYTE);
        socket.setSoTimeout((int) Duration.ofSeconds(30).toMillis());
        socket.connect(address());
        return socket;
    }

    private double gauge(String name) {
        URI uri = URI.create("http://127.0.0.1:" + ports.statusPort() + "/metrics");
        try (InputStream in = uri.toURL().openStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.startsWith("tanagerhinge_" + name + " "))
                    .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
