package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.gateway.SequentialHttpClient;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.StoreStandin;

/** Calls that several parts of a gateway make on one connection. */
class JsonCallerTest {
    private static final String READ = PlatformNames.RANGE_PATH + "?prefix=none/";
    private static final long LONG_MILLIS = 20_000;

    private final StoreStandin store = StoreStandin.start(0);
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SequentialHttpClient caller = SequentialHttpClient.of(loop, store.address());
    private final List<String> heard = new CopyOnWriteArrayList<>();

    @AfterEach
    void tearDown() {
        loop.shutdownGracefully();
        store.close();
    }

    private void call(String name, long timeoutMillis) {
        caller.call(HttpMethod.GET, READ, "", timeoutMillis, answer -> heard.add(name + " " + answer.status()));
    }

    @Test
    void aCallThatIsMadeWhileAnotherOneIsInProgressFollowsIt() {
        loop.execute(() -> {
            call("first", LONG_MILLIS);
            call("second", LONG_MILLIS);
            call("third", LONG_MILLIS);
        });
        RelayScene.await(() -> heard.size() == 3);
        assertEquals(List.of("first 200", "second 200", "third 200"), heard);
    }

    @Test
    void aCallWhoseTimeEndsWhileItWaitsFailsThenAndLeavesTheOthersTheirTurn() {
        store.faultMode(StoreStandin.FaultMode.SILENT);
        loop.execute(() -> {
            call("first", 1_000);
            call("second", 50);
            call("third", LONG_MILLIS);
        });
        RelayScene.await(() -> heard.size() == 1);
        assertEquals(List.of("second 0"), heard);
        store.faultMode(StoreStandin.FaultMode.SERVES);
        RelayScene.await(() -> heard.size() == 3);
        assertEquals("third 200", heard.get(2));
    }

    @Test
    void allCallsFailWhenTheCallerIsClosed() {
        store.faultMode(StoreStandin.FaultMode.SILENT);
        loop.execute(() -> {
            call("first", LONG_MILLIS);
            call("second", LONG_MILLIS);
            caller.close();
        });
        RelayScene.await(() -> heard.size() == 2);
        assertTrue(heard.stream().allMatch(line -> line.endsWith(" 0")), heard.toString());
    }
}
