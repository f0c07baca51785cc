package org.tanagerhinge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerhinge.core.message.Frame;

/** Tests connections between routers and agents: mutual authentication and delivery of messages. */
class LinkTest {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final SharedSecret SECRET = SharedSecret.of("a secret of some length");

    /** Records the events of connections. */
    private static final class RecordingListener implements LinkListener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private volatile Link link;

        @Override
        public void onUp(Link up) {
            link = up;
            events.add("up " + up.peer().name());
        }

        @Override
        public void onFrame(Link from, Frame frame) {
            events.add(frame.toString());
        }

        @Override
        public void onDown(Link down) {
            events.add("down");
        }

        @Override
        public void onRefused(String reason) {
            events.add("refused " + reason);
        }

        String nextEvent() throws InterruptedException {
            return events.poll(20, TimeUnit.SECONDS);
        }
    }

    private final RecordingListener agent = new RecordingListener();
    private final RecordingListener router = new RecordingListener();
    private EventLoopGroup group;
    private LinkServer server;

    @BeforeEach
    void start() throws Exception {
        group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        server = LinkServer.start(
                group,
                new InetSocketAddress("127.0.0.1", 0),
                Peer.agent("engine-1", 7),
                SECRET,
                IDLE_TIMEOUT,
                16,
                agent);
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private LinkClient connect(String agentName, String secret) {
        return LinkClient.start(
                group,
                new InetSocketAddress("127.0.0.1", server.port()),
                agentName,
                Peer.router("router-1", 9),
                SharedSecret.of(secret),
                IDLE_TIMEOUT,
                router);
    }

    @Test
    void deliversFramesAfterMutualAuthentication() throws Exception {
        try (LinkClient client = connect("engine-1", "a secret of some length")) {
            assertEquals("up engine-1", router.nextEvent());
            assertEquals("up router-1", agent.nextEvent());
            router.link.send(new Frame.Cancel(3, true));
            assertEquals("Cancel[attempt=3, continueRun=true]", agent.nextEvent());
        }
        assertEquals("down", agent.nextEvent());
    }

    /**
     * Guards against agents that accept work from a peer that has not proved the secret, or a peer under a wrong
     * name.
     */
    @ParameterizedTest
    @CsvSource({
        "engine-1, another secret of some length, wrong_secret",
        "engine-2, a secret of some length, unexpected_peer"
    })
    void rejectsPeerWithWrongSecretOrName(String name, String secret, String reason) throws Exception {
        try (LinkClient client = connect(name, secret)) {
            assertEquals("refused " + reason, router.nextEvent());
            assertNull(agent.link);
        }
    }
}
