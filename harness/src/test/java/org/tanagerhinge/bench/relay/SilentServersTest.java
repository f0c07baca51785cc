package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.standin.relay.GatewayFixture;

/** Guards against streams that a gateway cuts because their server, which is well, writes nothing for a while. */
class SilentServersTest {
    private static final String HOST = "shop.example";
    private static final int SERVERS = 3;
    private static final int STREAMS = 6;
    private static final int EVENTS = 16;
    private static final int EVENT_GAP_MILLIS = 150;
    private static final int SILENCE_MILLIS = 1_500;
    /** Time between the beginnings of the pauses of two servers. */
    private static final int PAUSE_GAP_MILLIS = 600;

    private static final int STOP_AFTER_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 8_000;

    @TempDir
    private Path folder;

    private final GatewayFixture fixture = GatewayFixture.open(HOST);
    private final List<PausingServer> servers = new ArrayList<>();
    private GatewayFixture.Ports ports;
    private GatewayProcess process;

    @AfterEach
    void tearDown() throws InterruptedException {
        process.kill();
        process.awaitEnd(GRACE_MILLIS);
        fixture.close();
    }

    private void start(double retryRatio, int retrySlack) throws IOException, InterruptedException {
        for (int i = 0; i < SERVERS; i++) {
            PausingServer server = PausingServer.create();
            servers.add(server);
            fixture.server("e-" + i, "model", server);
        }
        fixture.publish();
        Path settings = folder.resolve("gateway.ini");
        ports = fixture.settings(settings, "gateway");
        Files.writeString(
                settings,
                Files.readString(settings)
                        .replaceFirst("retry_ratio = .*", "retry_ratio = " + retryRatio)
                        .replaceFirst("retry_slack = .*", "retry_slack = " + retrySlack));
        process = GatewayProcess.start(settings, Files.createFile(folder.resolve("gateway.log")));
        fixture.awaitReady(ports);
    }

    private void start() throws IOException, InterruptedException {
        start(0.2, 50);
    }

    /** Begins all streams; their requests have these further parameters. */
    private List<FutureTask<String>> begin(String parameters) {
        return IntStream.range(0, STREAMS)
                .mapToObj(i -> {
                    FutureTask<String> stream = new FutureTask<>(read("attempt-" + i, parameters));
                    Thread.ofVirtual().start(stream);
                    return stream;
                })
                .toList();
    }

    /** Returns what reads a stream and describes how it came. */
    private Callable<String> read(String id, String parameters) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort());
        String path = "/stream/" + id + "?pieces=" + EVENTS + "&pause=" + EVENT_GAP_MILLIS + parameters;
        return () -> {
            try (RawCaller caller = RawCaller.to(address)) {
                RawCaller.Answer answer = caller.exchange(RawCaller.request("POST", path, id, "", "{}"));
                StreamEvents events = StreamEvents.of(answer.body());
                return "status " + answer.status() + ", " + (answer.whole() ? "whole" : "cut") + " after "
                        + events.count() + " events" + (events.inOrder() ? "" : " that are not in order");
            }
        };
    }

    private void awaitStreams() {
        RelayScene.await(() -> IntStream.range(0, STREAMS).allMatch(i -> fixture.received("attempt-" + i)));
        RelayScene.sleep(2 * EVENT_GAP_MILLIS);
    }

    /** Lets each server pause once, overlapping with the next one; the gateway may be stopped meanwhile. */
    private void pauseServers(boolean stopped) {
        if (stopped) {
            Thread.ofVirtual().start(() -> {
                RelayScene.sleep(STOP_AFTER_MILLIS);
                process.signal(GatewayProcess.Signal.TERM);
            });
        }
        for (PausingServer server : servers) {
            server.pause(PausingServer.Pause.OUTPUT, SILENCE_MILLIS);
            RelayScene.sleep(PAUSE_GAP_MILLIS);
        }
    }

    private static void assertWhole(List<FutureTask<String>> streams) throws Exception {
        List<String> ends = new ArrayList<>();
        for (FutureTask<String> stream : streams) {
            ends.add(stream.get());
        }
        String whole = "status 200, whole after " + EVENTS + " events";
        assertEquals(Collections.nCopies(STREAMS, whole), ends);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamsOfServersThatPauseBetweenEventsAreWhole(boolean stopped) throws Exception {
        start();
        List<FutureTask<String>> streams = begin("");
        awaitStreams();
        pauseServers(stopped);
        assertWhole(streams);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamsAreWholeIfTheOtherServersRejectThem(boolean stopped) throws Exception {
        start();
        List<FutureTask<String>> streams = begin("");
        awaitStreams();
        servers.forEach(server -> server.rejectBeyond(0));
        pauseServers(stopped);
        assertWhole(streams);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamsAreWholeIfNoRetryIsLeft(boolean stopped) throws Exception {
        start(0, 0);
        List<FutureTask<String>> streams = begin("");
        awaitStreams();
        pauseServers(stopped);
        assertWhole(streams);
    }

    @Test
    void streamsOfServersThatPauseBeforeTheFirstEventAreWhole() throws Exception {
        start();
        servers.forEach(server -> server.pause(PausingServer.Pause.OUTPUT, STOP_AFTER_MILLIS + SILENCE_MILLIS));
        List<FutureTask<String>> streams = begin("");
        RelayScene.sleep(STOP_AFTER_MILLIS);
        process.signal(GatewayProcess.Signal.TERM);
        assertWhole(streams);
    }

    @Test
    void streamsOfServersThatPauseBeforeTheEndAreWhole() throws Exception {
        start();
        List<FutureTask<String>> streams = begin("&last=" + SILENCE_MILLIS);
        awaitStreams();
        RelayScene.sleep(EVENTS * EVENT_GAP_MILLIS);
        process.signal(GatewayProcess.Signal.TERM);
        assertWhole(streams);
    }
}
