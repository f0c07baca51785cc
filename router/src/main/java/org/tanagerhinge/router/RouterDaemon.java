package org.tanagerhinge.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.net.SocketAddresses;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunOutcome;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.core.router.ExchangeOutcome;
import org.tanagerhinge.core.router.IncomingRequest;
import org.tanagerhinge.core.router.RouterCore;
import org.tanagerhinge.core.router.RouterOptions;
import org.tanagerhinge.core.router.RouterPort;
import org.tanagerhinge.core.time.SteadyClock;
import org.tanagerhinge.node.control.ControlLoop;
import org.tanagerhinge.node.daemon.Daemon;
import org.tanagerhinge.node.daemon.Descriptors;
import org.tanagerhinge.node.daemon.GracefulStop;
import org.tanagerhinge.node.daemon.HttpServer;
import org.tanagerhinge.node.daemon.HttpServer.Page;
import org.tanagerhinge.node.daemon.Incarnation;
import org.tanagerhinge.node.daemon.RequestLog;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.log.LogSetup;
import org.tanagerhinge.node.metrics.NodeMetrics;
import org.tanagerhinge.node.platform.ClaimStore;
import org.tanagerhinge.node.platform.ConfigPoller;
import org.tanagerhinge.node.platform.ConfigStore;
import org.tanagerhinge.node.platform.PlatformStore;
import org.tanagerhinge.wire.Link;
import org.tanagerhinge.wire.LinkClient;
import org.tanagerhinge.wire.LinkListener;
import org.tanagerhinge.wire.Peer;
import org.tanagerhinge.wire.SharedSecret;

/** The router process: connects {@link RouterCore} to callers, agents and the platform's store. */
public final class RouterDaemon implements Daemon {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration REFUSALS_LOG_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CLAIM_RECOVERY_INTERVAL = Duration.ofSeconds(1);
    private static final int NETWORK_THREADS = 2;
    private static final int TRAFFIC_THREADS = 4;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Addresses, limits and clients with which a router starts. */
    public record Parts(
            String name,
            InetSocketAddress listen,
            SharedSecret secret,
            RouterOptions options,
            PlatformStore platform,
            Duration pollInterval,
            Duration peerIdle,
            int maxBodyBytes,
            CallerBounds callerBounds,
            Duration stopTimeout) {}

    /**
     * Bounds of what all callers together may make a router hold.
     *
     * @param connections most open connections
     * @param memoryPercent memory for requests that arrive, wait or run, in percent of the heap
     */
    public record CallerBounds(int connections, int memoryPercent) {
        /** Bounds that no caller within the limits of a request meets. */
        public static final CallerBounds DEFAULT = new CallerBounds(3_000, 25);
    }

    private final Parts parts;
    private final RouterId self;
    private final NodeMetrics metrics = NodeMetrics.create();
    private final ControlLoop control;
    private final EventLoopGroup eventLoops;
    private final ExecutorService trafficExecutor;
    private final AsyncClaimStore claims;
    private final RouterCore core;
    private final AtomicLong requestNumbers = new AtomicLong();
    private final Map<ServerId, LinkClient> linkClients = new HashMap<>();
    private final Map<ServerId, Link> links = new ConcurrentHashMap<>();
    private final SteadyClock clock = SteadyClock.create();
    private final MemoryBound callerMemory = new MemoryBound(this::callerMemoryLimit, clock::millis);
    private volatile ClusterConfig config = ClusterConfig.EMPTY;
    private long loggedEvictions;
    private volatile long stopBegunNanos;
    private volatile boolean stopping;
    private CallerRegistry callers;
    private HttpServer httpServer;
    private ConfigPoller poller;

    private RouterDaemon(Parts parts) {
        this.parts = parts;
        this.self = RouterId.of(parts.name(), Incarnation.next());
        this.control = ControlLoop.start("control-" + parts.name(), metrics);
        this.eventLoops = new MultiThreadIoEventLoopGroup(
                NETWORK_THREADS, new DefaultThreadFactory("net-" + parts.name(), true), NioIoHandler.newFactory());
        this.trafficExecutor = Executors.newFixedThreadPool(
                TRAFFIC_THREADS,
                Thread.ofPlatform().name("traffic-", 0).daemon().factory());
        this.claims = new AsyncClaimStore(ClaimStore.in(parts.platform(), SteadyClock.create()), metrics);
        this.core = RouterCore.create(
                self, parts.options(), SteadyClock.create(), RandomGenerator.getDefault(), new Port(), metrics);
    }

    /** Starts a router; it accepts requests as soon as it has a configuration. */
    public static RouterDaemon start(Parts parts) throws TanagerhingeException {
        RouterDaemon daemon = new RouterDaemon(parts);
        try {
            daemon.open();
        } catch (TanagerhingeException e) {
            daemon.close();
            throw e;
        }
        return daemon;
    }

    private void open() throws TanagerhingeException {
        callers = CallerRegistry.start();
        registerGauges();
        httpServer = HttpServer.start(
                parts.listen(),
                new HttpServer.Limits(maxConnections(), callerMemory, clock),
                Map.of(
                        "/metrics", () -> Page.text(200, metrics.text()),
                        "/healthz", () -> Page.text(200, "ok\n"),
                        "/readyz", this::readinessPage),
                new CallerHandler(this, parts.maxBodyBytes(), callerMemory, clock));
        poller = ConfigPoller.start(ConfigStore.in(parts.platform()), parts::pollInterval, this::onConfigRead, metrics);
        control.scheduleEvery(TICK_INTERVAL, core::onTick);
        control.scheduleEvery(REFUSALS_LOG_INTERVAL, this::logRefusals);
        control.scheduleEvery(CLAIM_RECOVERY_INTERVAL, claims::recover);
        LogSetup.setNodeName(self.name());
        LogLine.of(LogEvent.STARTED)
                .with(LogField.WHY, "serving callers on port " + httpServer.port())
                .write();
    }

    /** Applies a configuration, and recovers claims at once if the answer of the store stated a new era. */
    private void onConfigRead(ClusterConfig found) {
        control.post(() -> core.applyConfig(found));
        claims.recover();
    }

    /** Returns the bound of callers' connections, which leaves descriptors for agents and the platform. */
    private int maxConnections() {
        int sockets = Descriptors.forSockets(Descriptors.ofProcess());
        return Math.min(parts.callerBounds().connections(), sockets / 2);
    }

    /** Returns the memory for requests of callers; two of the largest size fit in, each with its copy for an agent. */
    private long callerMemoryLimit() {
        long share = Runtime.getRuntime().maxMemory() * parts.callerBounds().memoryPercent() / 100;
        return Math.max(share, 4L * parts.maxBodyBytes());
    }

    /** Logs how many requests found no memory since the last time, if any did. */
    private void logRefusals() {
        long evictions = callerMemory.evictions();
        if (evictions > loggedEvictions) {
            LogLine.of(LogEvent.MEMORY_FULL, true)
                    .with(LogField.COUNT, evictions - loggedEvictions)
                    .with(LogField.HELD_BYTES, callerMemory.heldBytes())
                    .write();
            loggedEvictions = evictions;
        }
    }

    private void registerGauges() {
        metrics.registerGauge(
                "caller_memory_bytes", "Memory for requests of callers, as accounted for", callerMemory::heldBytes);
        metrics.registerGauge(
                "caller_memory_max_bytes", "Bound of the memory for requests of callers", this::callerMemoryLimit);
        metrics.registerGauge("requests_in_progress", "Requests in progress", () -> control.query(core::inFlight));
        metrics.registerGauge("links", "Agents connected", () -> control.query(core::linkedAgents));
        metrics.registerGauge(
                "servers_ejected", "Servers ejected for being slow", () -> control.query(core::ejectedServers));
        metrics.registerGauge(
                "config_revision",
                "Revision of the profiles document",
                () -> revision().profiles());
        metrics.registerGauge(
                "servers_revision",
                "Revision of the servers document",
                () -> revision().servers());
    }

    private Page readinessPage() {
        if (!control.query(() -> core.config().isComplete())) {
            return Page.text(503, "no configuration has been read yet\n");
        }
        if (control.query(core::stopping)) {
            return Page.text(503, "stopping\n");
        }
        return control.query(core::linkedAgents) == 0
                ? Page.text(503, "no agent is connected yet\n")
                : Page.text(200, "ready\n");
    }

    /** Returns the revision of the active configuration. */
    public ConfigRevision revision() {
        return control.query(core::revision);
    }

    /** Returns the number of connected agents. */
    public int linkCount() {
        return control.query(core::linkedAgents);
    }

    /** Returns the number of requests whose responses are not completely written. */
    public int unwrittenResponses() {
        return callers.unwrittenResponses();
    }

    /** Returns the port that callers connect to. */
    public int port() {
        return httpServer.port();
    }

    public NodeMetrics metrics() {
        return metrics;
    }

    RequestId nextRequestId() {
        return RequestId.of(
                parts.name() + "-" + Long.toHexString(self.incarnation()) + "-" + requestNumbers.incrementAndGet());
    }

    CallerSession newSession(RequestId id, Response response, Callback callback, ResponseFormat format) {
        return new CallerSession(id, response, callback, format, trafficExecutor, new SessionListener());
    }

    void watch(RequestId id, SocketChannel channel) {
        callers.watch(
                id,
                channel,
                () -> control.post(() -> {
                    metrics.count("caller_hung_up");
                    core.onCallerDisconnected(id);
                }));
    }

    void submit(IncomingRequest incoming, CallerSession session, BodyReader body) {
        callers.register(incoming.id(), session, body);
        control.post(() -> core.onRequest(incoming));
    }

    void countFailure(RequestFailure failure) {
        metrics.count("refused_" + failure.code().label());
    }

    /** Returns the list of models in the OpenAI format, if the key belongs to a workspace. */
    Optional<String> modelList(String keyHash) {
        ClusterConfig current = config;
        if (!current.profiles().workspacesByKeySha256().containsKey(keyHash)) {
            return Optional.empty();
        }
        ObjectNode root = JSON.createObjectNode().put("object", "list");
        ArrayNode data = root.putArray("data");
        current.servers().servers().stream()
                .filter(server -> server.kind() == ServerKind.MODEL)
                .flatMap(server -> server.targets().stream())
                .distinct()
                .sorted()
                .forEach(model -> data.addObject()
                        .put("id", model.value())
                        .put("object", "model")
                        .put("owned_by", "tanagerhinge"));
        return Optional.of(root.toString());
    }

    private final class SessionListener implements CallerSession.Listener {
        @Override
        public void onUnitsWritten(RequestId request, long units) {
            control.post(() -> core.onCallerConsumed(request, units));
        }

        @Override
        public void onWriteFailed(RequestId request) {
            control.post(() -> core.onCallerDisconnected(request));
        }

        @Override
        public void onFinished(RequestId request) {
            callers.responseWritten(request);
        }
    }

    @Override
    public void beginStop(Duration timeLeft) {
        stopBegunNanos = System.nanoTime();
        stopping = true;
        control.post(core::beginStop);
    }

    /** Returns whether a graceful stop has begun, in which each response closes its connection. */
    boolean stopping() {
        return stopping;
    }

    @Override
    public boolean isDrained() {
        return System.nanoTime() - stopBegunNanos >= GracefulStop.READINESS_DETECTION.toNanos()
                && control.query(core::drained)
                && callers.unwrittenResponses() == 0;
    }

    @Override
    public Duration stopTimeout() {
        return parts.stopTimeout();
    }

    @Override
    public void close() {
        if (poller != null) {
            poller.close();
        }
        if (httpServer != null && stopping) {
            httpServer.closeGracefully();
        } else if (httpServer != null) {
            httpServer.close();
        }
        linkClients.values().forEach(LinkClient::close);
        eventLoops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        if (callers != null) {
            callers.close();
        }
        claims.close();
        control.close();
        trafficExecutor.shutdown();
    }

    /** Performs the I/O that the core requests; called on the control thread. */
    private final class Port implements RouterPort {
        @Override
        public void send(ServerId server, Frame.FromRouter frame) {
            if (frame instanceof Frame.Submit submit) {
                RequestLog.sent(submit.request(), server, submit.timeLeft());
            }
            Link link = links.get(server);
            if (link != null) {
                link.send(frame);
            }
        }

        @Override
        public void attemptFailed(
                RequestId request, ServerId server, ResultCode code, RunOutcome runOutcome, String reason) {
            RequestLog.attemptFailed(request, server, code, runOutcome, reason);
        }

        @Override
        public void claim(long sequence, ClaimEntry requested, long expectedGeneration) {
            claims.claim(
                    requested,
                    expectedGeneration,
                    decision -> control.post(() -> core.onClaimDecided(sequence, decision)));
        }

        @Override
        public void releaseClaim(ClaimEntry claim) {
            claims.release(claim);
        }

        @Override
        public void keepClaims(List<StoredClaim> reported) {
            claims.keep(reported);
        }

        @Override
        public long storeEra() {
            return claims.era();
        }

        @Override
        public void checkStoreEra(long stated) {
            claims.checkEra(stated);
        }

        @Override
        public void link(BackendServer server) {
            InetSocketAddress agentAddress =
                    SocketAddresses.parse(server.agentAddress()).orElseThrow();
            linkClients.put(
                    server.id(),
                    LinkClient.start(
                            eventLoops,
                            agentAddress,
                            server.id().value(),
                            Peer.router(self.name(), self.incarnation()),
                            parts.secret(),
                            parts.peerIdle(),
                            new LinkEventForwarder()));
        }

        @Override
        public void unlink(ServerId server) {
            LinkClient client = linkClients.remove(server);
            if (client != null) {
                client.close();
            }
            links.remove(server);
        }

        @Override
        public void deliverHead(RequestId request, int status, String contentType) {
            callers.session(request).ifPresent(session -> session.head(status, contentType));
        }

        @Override
        public void deliverChunk(RequestId request, long units, byte[] data) {
            callers.session(request).ifPresent(session -> session.chunk(units, data));
        }

        @Override
        public void complete(RequestId request, String finishReason, long units) {
            callers.remove(request).ifPresent(session -> session.complete(finishReason, units));
        }

        @Override
        public void refuse(RequestId request, RequestFailure failure) {
            callers.remove(request).ifPresent(session -> session.fail(failure));
        }

        @Override
        public void exchangeEnded(ExchangeOutcome outcome) {
            callers.remove(outcome.request()).ifPresent(CallerSession::abandon);
            metrics.countResult(outcome.profile().value(), outcome.code().number());
            if (outcome.code().number() == 0) {
                Duration meanTokenGap = outcome.units() > 1
                        ? outcome.totalTime().minus(outcome.timeToFirstOutput()).dividedBy(outcome.units() - 1)
                        : Duration.ZERO;
                metrics.observeAnswer(
                        outcome.profile().value(), outcome.timeToFirstOutput(), meanTokenGap, outcome.totalTime());
            }
            RequestLog.ended(outcome);
        }

        @Override
        public void countDecision(String reason) {
            metrics.count(reason);
        }

        @Override
        public void configApplied(ClusterConfig newConfig) {
            config = newConfig;
            LogLine.of(LogEvent.CONFIGURATION)
                    .with(LogField.CONFIG, newConfig.revision().toString())
                    .write();
        }
    }

    /** Posts events of links to the control thread. */
    private final class LinkEventForwarder implements LinkListener {
        @Override
        public void onUp(Link link) {
            control.post(() -> {
                ServerId server = ServerId.of(link.peer().name());
                if (!linkClients.containsKey(server)) {
                    link.close();
                    return;
                }
                links.put(server, link);
                core.onLinkUp(server, link.peer().incarnation());
            });
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            if (frame instanceof Frame.FromAgent message) {
                control.post(() -> {
                    ServerId server = ServerId.of(link.peer().name());
                    if (links.get(server) == link) {
                        core.onFrame(server, message);
                    }
                });
            } else {
                metrics.count("link_refused_wrong_direction");
                link.close();
            }
        }

        @Override
        public void onDown(Link link) {
            control.post(() -> {
                ServerId server = ServerId.of(link.peer().name());
                if (links.remove(server, link)) {
                    core.onLinkDown(server);
                }
            });
        }

        @Override
        public void onRefused(String reason) {
            metrics.count("link_refused_" + reason);
        }
    }
}
