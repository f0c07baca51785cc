package org.tanagerhinge.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.duty.DutyClient;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.node.daemon.Daemon;
import org.tanagerhinge.node.daemon.GracefulStop;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.log.LogSetup;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Runs a gateway as a daemon: opens its listeners, synchronizes with store and peers, and stops gracefully. */
public final class GatewayDaemon implements Daemon {
    private static final Logger LOG = System.getLogger(GatewayDaemon.class.getName());
    private static final int BACKLOG = 1024;
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 32_768;
    /** Maximum size of a peer's message; usage counts of thousands of workspaces fit in. */
    private static final int MAX_PEER_MESSAGE_BYTES = 1 << 20;
    /** Time in which a stop accepts at least the connections that wait in the listener's backlog. */
    private static final Duration MIN_INTAKE = Duration.ofMillis(200);
    /** Part of the stop timeout that is reserved for aborting requests and exiting. */
    private static final Duration EXIT_RESERVE = Duration.ofMillis(700);
    /** Part of the exit reserve in which callers receive the responses to aborted requests. */
    private static final Duration DELIVERY_RESERVE = Duration.ofMillis(300);

    private static final Duration DELIVERY_POLL = Duration.ofMillis(10);

    private final EventLoopGroup loop;
    private final Gateway gateway;
    private final NodeMetrics metrics;
    private final GatewayOptions options;
    private final ConnectionLimits connectionLimits;
    private final MemoryBound controlMemory;
    private volatile Duration stopTimeout;
    private Optional<DutyParticipant> duties = Optional.empty();
    private ServerSocketChannel callerSocket;
    private Channel callerListener;

    private GatewayDaemon(EventLoopGroup loop, Gateway gateway, NodeMetrics metrics, GatewayOptions options) {
        this.loop = loop;
        this.gateway = gateway;
        this.metrics = metrics;
        this.options = options;
        this.stopTimeout = options.bounds().stopTimeout();
        this.connectionLimits = gateway.connectionLimits();
        this.controlMemory = new MemoryBound(() -> options.limits().controlMemoryBytes(), gateway::nowMillis);
    }

    /**
     * Starts a gateway.
     *
     * @param storeFactory creates the client of the platform's store on the gateway's event loop; it records the era of
     *     each response
     * @param dutyClientFactory creates the client for duty calls; not used without duties
     * @param earlySocket the listening socket for callers, if it is open already
     */
    public static GatewayDaemon start(
            GatewayOptions options,
            Dialect dialect,
            PlacementPolicy placement,
            BiFunction<EventLoopGroup, StoreEra, MetadataStore> storeFactory,
            BiFunction<EventLoopGroup, StoreEra, DutyClient> dutyClientFactory,
            Optional<ServerSocketChannel> earlySocket) {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        NodeMetrics metrics = NodeMetrics.create();
        Gateway gateway = Gateway.create(loop, dialect, options, metrics, placement);
        GatewayDaemon daemon = new GatewayDaemon(loop, gateway, metrics, options);
        daemon.openListeners(earlySocket);
        MetadataStore client = InstrumentedStore.of(storeFactory.apply(loop, gateway.storeEra()), metrics);
        PeerSynchronizer peers = PeerSynchronizer.open(gateway, loop, document -> decode(client, document));
        gateway.onSent(peers::promptSent);
        daemon.duties = options.duties()
                .map(dutyOptions -> DutyParticipant.start(
                        gateway,
                        loop,
                        peers,
                        dutyClientFactory.apply(loop, gateway.storeEra()),
                        dutyOptions,
                        InstantSource.system()));
        daemon.openPeerListener();
        daemon.registerGauges(peers);
        loop.next().execute(() -> StoreSynchronizer.start(gateway, client, peers));
        return daemon;
    }

    private static double usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Registers gauges for in-flight requests and the age of shared state; they are read on the event loop. */
    private void registerGauges(PeerSynchronizer peers) {
        metrics.registerGauge("requests_in_progress", "Requests in flight", gateway::inFlight);
        metrics.registerGauge("caller_connections", "Open connections of callers", gateway::callerConnections);
        metrics.registerGauge(
                "caller_unsent_bytes",
                "Bytes of answers that the kernel has not taken, since callers read slowly",
                gateway::unsentBytes);
        metrics.registerGauge(
                "caller_memory_bytes",
                "Memory for requests and answers of callers, as accounted for",
                () -> gateway.callerMemory().heldBytes());
        metrics.registerGauge(
                "caller_memory_max_bytes",
                "Bound of the memory for requests and answers of callers",
                gateway::callerMemoryLimit);
        metrics.registerGauge(
                "server_memory_bytes",
                "Memory for incomplete responses of backend servers, as accounted for",
                () -> gateway.serverMemory().heldBytes());
        metrics.registerGauge(
                "server_memory_max_bytes",
                "Bound of the memory for incomplete responses of backend servers",
                gateway::serverMemoryLimit);
        metrics.registerGauge(
                "control_memory_bytes",
                "Memory for requests at the addresses for status and peers, as accounted for",
                controlMemory::heldBytes);
        metrics.registerGauge(
                "caller_connections_max", "Most connections of callers", () -> connectionLimits.callers());
        metrics.registerGauge(
                "callers_awaiting_decoding",
                "Caller connections whose request takes long to decode and waits for its turn",
                () -> gateway.decodingTurns().waiting());
        metrics.registerGauge("heap_used_bytes", "Used memory of the heap", GatewayDaemon::usedHeapBytes);
        metrics.registerGauge(
                "heap_max_bytes",
                "Largest size of the heap",
                () -> Runtime.getRuntime().maxMemory());
        metrics.registerGauge(
                "cached_parts",
                "Prompt parts that engines are expected to have cached",
                () -> gateway.placement().trackedParts());
        metrics.registerGauge("config_version", "Version of the active configuration", gateway::configVersion);
        metrics.registerGauge(
                "store_era",
                "Latest known era of the platform's store",
                () -> gateway.storeEra().current());
        metrics.registerGauge(
                "task_age_seconds", "Time since a periodic task last completed", "task", gateway::taskAgesSeconds);
        metrics.registerGauge("servers_age_seconds", "Age of the server list", gateway::serversAgeSeconds);
        metrics.registerGauge("peers_present", "Peers that reported recently", gateway::peersPresent);
        metrics.registerGauge(
                "peers_age_seconds", "Age of the oldest report among present peers", peers::oldestReportSeconds);
        duties.ifPresent(participant -> metrics.registerGauge(
                "usage_coverage",
                "Share of known nodes whose counts the latest usage window contains",
                participant::coverage));
        RetryBudget budget = gateway.budget();
        metrics.registerGauge(
                "retries_in_window",
                "Retries that this node took in the window of the retry budget",
                "service",
                () -> byService(usage -> (double) usage.retries()));
        metrics.registerGauge(
                "retries_left",
                "Retries that this node could still take",
                "service",
                () -> byService(RetryBudget.Usage::retriesLeft));
        metrics.registerGauge(
                "retry_budget_nodes",
                "Nodes among which the fixed part of the retry budget is divided",
                () -> budget.nodeCount(gateway.nowMillis()));
        metrics.registerGauge("log_lines_dropped", "Log lines dropped since startup", LogSetup::dropped);
    }

    private Map<String, Double> byService(Function<RetryBudget.Usage, Double> value) {
        RetryBudget budget = gateway.budget();
        return budget.classes().stream()
                .collect(Collectors.toMap(
                        service -> service, service -> value.apply(budget.usage(service, gateway.nowMillis()))));
    }

    private static RelayConfig decode(MetadataStore client, byte[] document) {
        try {
            return client.decodeConfig(document);
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private void openListeners(Optional<ServerSocketChannel> earlySocket) {
        listen(options.statusAddress(), statusHandlers());
        options.metricsAddress().ifPresent(address -> tryListen(address, statusHandlers()));
        ChannelHandler callers = new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                CallerConnection.addTo(channel.pipeline(), gateway);
            }
        };
        callerSocket = earlySocket.orElseGet(() -> bind(options.listenAddress()));
        callerListener = adoptSocket(callerSocket, callers);
        LogSetup.setNodeName(options.name());
        LogLine.of(LogEvent.STARTED)
                .with(LogField.WHY, "listening on " + options.listenAddress())
                .write();
    }

    /** Returns what handles the connections of one listener for readiness checks and metrics. */
    private ChannelHandler statusHandlers() {
        return controlHandlers(connectionLimits.status(), MAX_HEADER_BYTES, () -> new StatusHandler(gateway));
    }

    private void openPeerListener() {
        listen(
                options.peerAddress(),
                controlHandlers(
                        connectionLimits.peers(),
                        MAX_PEER_MESSAGE_BYTES,
                        () -> new PeerRequestHandler(gateway, duties)));
    }

    /** Returns what handles the connections of one listener for operators or peers. */
    private ChannelHandler controlHandlers(
            int maxConnections, int maxMessageBytes, Supplier<ChannelHandler> requestHandler) {
        ControlConnections connections =
                new ControlConnections(maxConnections, controlMemory, gateway::nowMillis, gateway::count);
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                connections.guard(),
                                new HttpServerCodec(),
                                new HttpObjectAggregator(maxMessageBytes),
                                requestHandler.get());
            }
        };
    }

    private static ServerSocketChannel bind(InetSocketAddress address) {
        try {
            return EarlyListener.bounded(ServerSocketChannel.open()).bind(address, BACKLOG);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
    }

    /** Bounds what is read from one caller before others have their turn. */
    private static RecvByteBufAllocator receiveBuffers() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1);
    }

    private Channel adoptSocket(ServerSocketChannel socket, ChannelHandler handler) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new NioServerSocketChannel(socket))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
                .childHandler(handler)
                .register()
                .syncUninterruptibly()
                .channel();
    }

    /** Listens if the address is available; callers are served even if the metrics port is taken. */
    private void tryListen(InetSocketAddress address, ChannelHandler handler) {
        try {
            listen(address, handler);
        } catch (ChannelException e) {
            LOG.log(Level.WARNING, "metrics are not available at " + address + ": " + e.getMessage());
        }
    }

    private Channel listen(InetSocketAddress address, ChannelHandler handler) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
                .childHandler(handler)
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the metrics of this node. */
    public NodeMetrics metrics() {
        return metrics;
    }

    /** Returns whether this node accepts new connections. */
    public boolean ready() {
        return loop.next().submit(gateway::ready).awaitUninterruptibly().getNow();
    }

    /** Starts the periodic tasks again that would be overdue after a time; returns when it has. */
    void restartOverdueTasks(Duration later) {
        loop.next()
                .submit(() -> gateway.restartOverdueTasks(gateway.nowMillis() + later.toMillis()))
                .awaitUninterruptibly();
    }

    /** Returns the version of the active configuration, or 0 if there is none. */
    public long configVersion() {
        return loop.next().submit(gateway::configVersion).awaitUninterruptibly().getNow();
    }

    /** Returns the number of peers that reported recently. */
    public int peersPresent() {
        return loop.next()
                .submit(() -> gateway.peersPresent())
                .awaitUninterruptibly()
                .getNow();
    }

    /** Returns the address at which callers connect. */
    public InetSocketAddress address() {
        return (InetSocketAddress) callerListener.localAddress();
    }

    /** Applies changed bounds; addresses and names keep their values from startup. */
    public void updateBounds(GatewayOptions.Bounds newer) {
        stopTimeout = newer.stopTimeout();
        loop.next().execute(() -> gateway.updateBounds(newer));
    }

    @Override
    public void beginStop(Duration timeLeft) {
        Duration elapsed = stopTimeout().minus(timeLeft);
        gateway.beginStop(timeLeft);
        duties.ifPresent(participant -> loop.next().execute(participant::beginStop));
        // A signal during the start leaves less time, since the node has never been ready.
        Duration delay = GracefulStop.READINESS_DETECTION.minus(elapsed);
        loop.next()
                .schedule(this::closeIntake, Math.max(delay.toMillis(), MIN_INTAKE.toMillis()), TimeUnit.MILLISECONDS);
    }

    private void closeIntake() {
        acceptBacklog();
        callerListener.close();
        duties.ifPresent(DutyParticipant::intakeClosed);
        gateway.closeIntake();
    }

    /** Accepts all connections that wait in the backlog, which a close of the listener would reset. */
    private void acceptBacklog() {
        try {
            for (SocketChannel socket = callerSocket.accept(); socket != null; socket = callerSocket.accept()) {
                callerListener.pipeline().fireChannelRead(new NioSocketChannel(callerListener, socket));
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "cannot accept the connections that wait: " + e.getMessage());
        }
    }

    @Override
    public boolean isDrained() {
        return gateway.intakeClosed()
                && gateway.inFlight() == 0
                && gateway.callerConnections() == 0
                && duties.map(DutyParticipant::settled).orElse(true);
    }

    @Override
    public Duration stopTimeout() {
        return stopTimeout.minus(EXIT_RESERVE);
    }

    @Override
    public void close() {
        long closedByNanos = System.nanoTime() + DELIVERY_RESERVE.toNanos();
        loop.next().submit(gateway::abortExchanges).awaitUninterruptibly(DELIVERY_RESERVE.toMillis());
        loop.next().submit(gateway::refuseUnreadRequests).awaitUninterruptibly(DELIVERY_RESERVE.toMillis());
        try {
            while (gateway.callerConnections() > 0 && System.nanoTime() - closedByNanos < 0) {
                Thread.sleep(DELIVERY_POLL.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.next().submit(gateway::logUndelivered).awaitUninterruptibly(DELIVERY_RESERVE.toMillis() / 3);
        loop.shutdownGracefully(0, DELIVERY_RESERVE.toMillis() / 3, TimeUnit.MILLISECONDS);
    }
}
