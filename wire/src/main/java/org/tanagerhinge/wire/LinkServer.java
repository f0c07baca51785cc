package org.tanagerhinge.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/** Accepts connections from routers on an agent. */
public final class LinkServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    /** Time that peers have to close their connections when the server is closed. */
    private static final Duration LINGER = Duration.ofMillis(500);

    private final Channel channel;
    private final ChannelGroup connections;

    private LinkServer(Channel channel, ChannelGroup connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /**
     * Starts listening.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param idleTimeout how long a peer may send nothing before its connection is closed as lost, and how long it may
     *     take to prove knowledge of the secret
     * @param maxUnauthenticated most connections of peers that have not done so
     */
    public static LinkServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            Peer self,
            SharedSecret secret,
            Duration idleTimeout,
            int maxUnauthenticated,
            LinkListener listener)
            throws LinkBindException {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        UnauthenticatedLinks unauthenticated =
                new UnauthenticatedLinks(maxUnauthenticated, idleTimeout, listener::onRefused);
        LinkInitializer initializer = new LinkInitializer(
                () -> new LinkHandler(self, Peer.Role.ROUTER, Optional.empty(), secret, listener), idleTimeout);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new io.netty.channel.ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        connections.add(accepted);
                        unauthenticated.accepted(accepted);
                        accepted.pipeline().addLast(initializer.copy());
                    }
                });
        ChannelFuture bindFuture = bootstrap.bind(address).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new LinkBindException("cannot listen on " + address, bindFuture.cause());
        }
        return new LinkServer(bindFuture.channel(), connections);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Closes the listener and all connections, after what was sent has been received: a close with unread bytes would
     * reset the connection, so each peer has time to close first.
     */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        for (Channel connection : connections) {
            connection
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(flushed -> ((SocketChannel) connection).shutdownOutput());
        }
        connections.newCloseFuture().awaitUninterruptibly(LINGER.toMillis());
        connections.close().awaitUninterruptibly();
    }
}
