package org.tanagerhinge.wire;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.message.Frame;

/** Connections on which nothing is received for a time. */
class LinkIdleTest {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(3);
    private static final long STEP_MILLIS = 100;

    private static final LinkListener LISTENER = new LinkListener() {
        @Override
        public void onUp(Link link) {}

        @Override
        public void onFrame(Link link, Frame frame) {}

        @Override
        public void onDown(Link link) {}

        @Override
        public void onRefused(String reason) {}
    };

    private final EmbeddedChannel channel = new EmbeddedChannel();

    private void open() {
        channel.freezeTime();
        channel.pipeline()
                .addLast(new LinkInitializer(
                        () -> new LinkHandler(
                                Peer.router("router-1", 1),
                                Peer.Role.AGENT,
                                Optional.of("engine-1"),
                                SharedSecret.of("a secret of some length"),
                                LISTENER),
                        IDLE_TIMEOUT));
    }

    /** Lets time pass in which the event loop of this process runs. */
    private void pass(Duration duration) {
        for (long millis = 0; millis < duration.toMillis(); millis += STEP_MILLIS) {
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    /** Guards against a frozen peer for which requests wait forever. */
    @Test
    void silentPeerIsLostAfterTheIdleTimeout() {
        open();
        pass(IDLE_TIMEOUT.minusMillis(STEP_MILLIS));
        assertTrue(channel.isOpen());
        pass(Duration.ofMillis(2 * STEP_MILLIS));
        assertFalse(channel.isOpen());
    }

    /** Guards against answers in progress that end because this process did not run and took that for the peer's silence. */
    @Test
    void pauseOfThisProcessIsNotSilenceOfThePeer() {
        open();
        pass(Duration.ofSeconds(1));
        channel.advanceTimeBy(20, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertTrue(channel.isOpen());
        pass(IDLE_TIMEOUT);
        assertFalse(channel.isOpen());
    }
}
