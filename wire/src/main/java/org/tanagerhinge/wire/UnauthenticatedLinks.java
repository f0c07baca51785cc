package org.tanagerhinge.wire;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SequencedSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Bounds the connections whose peers have not proved knowledge of the shared secret, in number and in time. */
final class UnauthenticatedLinks {
    private final int max;
    private final Duration timeout;
    private final Consumer<String> refusals;
    private final SequencedSet<Channel> channels = new LinkedHashSet<>();

    /**
     * Creates the bounds of one listener.
     *
     * @param max most such connections; the oldest is closed for a new one
     * @param timeout time in which a peer has to prove knowledge of the secret
     * @param refusals receives the reason of each connection that is closed
     */
    UnauthenticatedLinks(int max, Duration timeout, Consumer<String> refusals) {
        this.max = max;
        this.timeout = timeout;
        this.refusals = refusals;
    }

    /** Watches over a new connection. */
    void accepted(Channel channel) {
        add(channel).forEach(other -> refuse(other, "too_many_unauthenticated"));
        channel.closeFuture().addListener(closed -> remove(channel));
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (remove(channel) && !LinkHandler.isAuthenticated(channel)) {
                                refuse(channel, "handshake_timeout");
                            }
                        },
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void refuse(Channel channel, String reason) {
        refusals.accept(reason);
        channel.close();
    }

    /** Adds a connection, and returns those for which there is no place any more. */
    private synchronized List<Channel> add(Channel channel) {
        List<Channel> displaced = new ArrayList<>();
        channels.add(channel);
        if (channels.size() > max) {
            channels.removeIf(LinkHandler::isAuthenticated);
        }
        while (channels.size() > max) {
            displaced.add(channels.removeFirst());
        }
        return displaced;
    }

    private synchronized boolean remove(Channel channel) {
        return channels.remove(channel);
    }
}
