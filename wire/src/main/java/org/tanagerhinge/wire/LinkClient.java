package org.tanagerhinge.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Connects a router to one agent and reconnects whenever the connection is lost, until closed. */
public final class LinkClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1500;
    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 1000;

    private final EventLoopGroup group;
    private final InetSocketAddress address;
    private final LinkInitializer initializer;
    private volatile boolean closed;
    private volatile Channel channel;
    private volatile long backoffMillis = INITIAL_BACKOFF_MILLIS;

    private LinkClient(EventLoopGroup group, InetSocketAddress address, LinkInitializer initializer) {
        this.group = group;
        this.address = address;
        this.initializer = initializer;
    }

    /**
     * Starts connecting.
     *
     * @param agentName name that the agent must prove in the handshake
     * @param idleTimeout how long the agent may send nothing before the connection is closed as lost
     */
    public static LinkClient start(
            EventLoopGroup group,
            InetSocketAddress address,
            String agentName,
            Peer self,
            SharedSecret secret,
            Duration idleTimeout,
            LinkListener listener) {
        LinkInitializer initializer = new LinkInitializer(
                () -> new LinkHandler(self, Peer.Role.AGENT, Optional.of(agentName), secret, listener), idleTimeout);
        LinkClient client = new LinkClient(group, address, initializer);
        client.connect();
        return client;
    }

    private void connect() {
        if (closed || group.isShuttingDown()) {
            return;
        }
        ChannelFuture connectFuture = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer.copy())
                .connect(address);
        channel = connectFuture.channel();
        connectFuture.addListener(completed -> {
            if (connectFuture.isSuccess()) {
                backoffMillis = INITIAL_BACKOFF_MILLIS;
                if (closed) {
                    connectFuture.channel().close();
                }
                connectFuture.channel().closeFuture().addListener(disconnected -> scheduleReconnect());
            } else {
                scheduleReconnect();
            }
        });
    }

    /**
     * Schedules a reconnect with exponential backoff and jitter, which avoids simultaneous connects to a replaced
     * agent.
     */
    private void scheduleReconnect() {
        if (closed || group.isShuttingDown()) {
            return;
        }
        long delayMillis = backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        group.schedule(this::connect, delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        closed = true;
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }
}
