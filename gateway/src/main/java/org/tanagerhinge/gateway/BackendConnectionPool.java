package org.tanagerhinge.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import jdk.net.ExtendedSocketOptions;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.core.relay.ServerInstance;

/** Pools connections to backend servers by server instance, since another instance may reuse an address. */
final class BackendConnectionPool {
    /**
     * Shorter than the one second after which a lost SYN packet is sent again, since another server is tried by then.
     */
    static final int CONNECT_TIMEOUT_MILLIS = 600;
    /** TCP keep-alive: a server that lost power or its network is detected after about three seconds. */
    private static final int KEEP_ALIVE_PROBE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;
    /** Idle time after which a connection is closed even if the server allows more. */
    private static final long MAX_IDLE_MILLIS = 30_000;

    private static final int MIN_RECEIVE_BYTES = 64;
    private static final int INITIAL_RECEIVE_BYTES = 2_048;
    private static final int MAX_RECEIVE_BYTES = 16_384;
    private static final int MAX_READS_PER_TURN = 4;

    private final EventLoopGroup loop;
    private final Dialect dialect;
    private final LongSupplier clock;
    private final Consumer<String> counter;
    private final ResponseListener responseListener;
    private final ServerLivenessCheck livenessCheck;
    private final MemoryBound memory;
    private final Map<String, Deque<BackendConnection>> idleByInstance = new HashMap<>();
    private final Map<String, Set<BackendConnection>> connectionsByInstance = new HashMap<>();

    BackendConnectionPool(
            EventLoopGroup loop,
            Dialect dialect,
            LongSupplier clock,
            Consumer<String> counter,
            ResponseListener hearer,
            ServerLivenessCheck livenessCheck,
            MemoryBound memory) {
        this.loop = loop;
        this.dialect = dialect;
        this.clock = clock;
        this.counter = counter;
        this.responseListener = hearer;
        this.livenessCheck = livenessCheck;
        this.memory = memory;
    }

    /** Receives the metadata of each response, whichever request it belongs to. */
    interface ResponseListener {
        void responseReceived(ServerInstance server, int status, BackendResponseMetadata metadata);
    }

    void responseReceived(ServerInstance server, int status, BackendResponseMetadata metadata) {
        responseListener.responseReceived(server, status, metadata);
    }

    /** Returns the bound of what servers make this node hold of responses that are not complete. */
    MemoryBound memory() {
        return memory;
    }

    ServerLivenessCheck livenessCheck() {
        return livenessCheck;
    }

    Dialect dialect() {
        return dialect;
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    void count(String reason) {
        counter.accept(reason);
    }

    /**
     * Returns an idle connection to a server that can carry another request, or null if there is none.
     *
     * @param maxIdleMillis longest time that the connection may have been idle, in milliseconds
     */
    BackendConnection pollIdle(ServerInstance server, long maxIdleMillis) {
        Deque<BackendConnection> connections = idleByInstance.get(server.instanceId());
        while (connections != null && !connections.isEmpty()) {
            BackendConnection connection = connections.peekLast();
            if (connection.reusable(nowMillis(), maxIdleMillis)) {
                connections.pollLast();
                return connection;
            }
            if (connection.channel().isActive() && connection.reusable(nowMillis(), Long.MAX_VALUE)) {
                return null;
            }
            connections.pollLast();
            connection.channel().close();
        }
        return null;
    }

    /** Opens a connection; {@code onConnected} receives it, or null if the connection failed. */
    void connect(ServerInstance server, Consumer<BackendConnection> onConnected) {
        BackendConnection connection = new BackendConnection(this, server);
        connectionsByInstance
                .computeIfAbsent(server.instanceId(), id -> new HashSet<>())
                .add(connection);
        bootstrap(loop)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.attach(channel);
                    }
                })
                .connect(server.address())
                .addListener(future -> {
                    if (future.isSuccess()) {
                        onConnected.accept(connection);
                    } else {
                        connectionClosed(connection);
                        onConnected.accept(null);
                    }
                });
    }

    /** Returns a bootstrap with the options of connections to backend servers. */
    static Bootstrap bootstrap(EventLoopGroup loop) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(CutDetectingChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }

    /** Bounds what is read from one server before others have their turn; servers may send without end. */
    private static RecvByteBufAllocator receiveBuffers() {
        return new AdaptiveRecvByteBufAllocator(MIN_RECEIVE_BYTES, INITIAL_RECEIVE_BYTES, MAX_RECEIVE_BYTES)
                .maxMessagesPerRead(MAX_READS_PER_TURN);
    }

    void release(BackendConnection connection) {
        if (connection.server().removed()) {
            connection.channel().close();
            return;
        }
        idleByInstance
                .computeIfAbsent(connection.server().instanceId(), id -> new ArrayDeque<>())
                .addLast(connection);
    }

    void connectionClosed(BackendConnection connection) {
        connection.releaseMemory();
        String instanceId = connection.server().instanceId();
        Deque<BackendConnection> connections = idleByInstance.get(instanceId);
        if (connections != null) {
            connections.remove(connection);
        }
        Set<BackendConnection> connectionsToServer = connectionsByInstance.get(instanceId);
        if (connectionsToServer != null && connectionsToServer.remove(connection) && connectionsToServer.isEmpty()) {
            connectionsByInstance.remove(instanceId);
            idleByInstance.remove(instanceId);
        }
    }

    /**
     * Closes idle connections to servers that accept no new work, and connections that were idle too long.
     *
     * @param isLeaving whether a server has announced that it leaves
     */
    void sweep(Predicate<ServerInstance> isLeaving) {
        for (Deque<BackendConnection> connections : Set.copyOf(idleByInstance.values())) {
            for (BackendConnection connection : Set.copyOf(connections)) {
                boolean leaving = !connection.server().available() || isLeaving.test(connection.server());
                if (leaving || !connection.reusable(nowMillis(), MAX_IDLE_MILLIS)) {
                    connections.remove(connection);
                    connection.channel().close();
                }
            }
        }
    }
}
