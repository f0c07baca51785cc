package org.tanagerhinge.agent;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.tanagerhinge.core.agent.AgentCore;
import org.tanagerhinge.core.agent.AgentOptions;
import org.tanagerhinge.core.agent.AgentPort;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.core.time.SteadyClock;
import org.tanagerhinge.node.control.ControlLoop;
import org.tanagerhinge.node.daemon.Daemon;
import org.tanagerhinge.node.daemon.Descriptors;
import org.tanagerhinge.node.daemon.HttpServer;
import org.tanagerhinge.node.daemon.HttpServer.Page;
import org.tanagerhinge.node.daemon.Incarnation;
import org.tanagerhinge.node.daemon.RequestLog;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.log.LogSetup;
import org.tanagerhinge.node.metrics.NodeMetrics;
import org.tanagerhinge.node.platform.ConfigPoller;
import org.tanagerhinge.node.platform.ConfigStore;
import org.tanagerhinge.node.platform.PlatformStore;
import org.tanagerhinge.wire.Link;
import org.tanagerhinge.wire.LinkListener;
import org.tanagerhinge.wire.LinkServer;
import org.tanagerhinge.wire.Peer;
import org.tanagerhinge.wire.SharedSecret;

/** The agent process: connects {@link AgentCore} to routers, the backend server and the platform's store. */
public final class AgentDaemon implements Daemon {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration DISCONNECTED_POLL_INTERVAL = Duration.ofSeconds(1);
    private static final int NETWORK_THREADS = 2;
    /** Time in which routers learn that this agent stops; requests that they have sent before are refused until then. */
    private static final Duration ROUTER_NOTICE = Duration.ofSeconds(1);

    /** Addresses, limits and clients with which an agent starts. */
    public record Parts(
            ServerId name,
            InetSocketAddress listen,
            InetSocketAddress metricsAddress,
            SharedSecret secret,
            AgentOptions options,
            String backendUrl,
            String probePath,
            HttpClient http,
            PlatformStore platform,
            Duration pollInterval,
            Duration peerIdle,
            ConnectionBounds connectionBounds,
            Duration stopTimeout) {}

    /**
     * Bounds of what connections may make an agent hold; fewer connections if the process has few descriptors.
     *
     * @param unauthenticated most connections of hosts that have not proved that they are routers
     * @param status most connections for metrics and checks
     * @param statusMemoryBytes memory for their incomplete heads
     */
    public record ConnectionBounds(int unauthenticated, int status, int statusMemoryBytes) {
        /** Bounds that no router and no scraper meets. */
        public static final ConnectionBounds DEFAULT = new ConnectionBounds(256, 256, 8 << 20);
    }

    private final Parts parts;
    private final NodeMetrics metrics = NodeMetrics.create();
    private final ControlLoop control;
    private final EventLoopGroup eventLoops;
    private final Map<RouterId, Link> links = new ConcurrentHashMap<>();
    private final AgentCore core;
    private final BackendClient backend;
    private volatile long stopBegunNanos;
    private LinkServer linkServer;
    private HttpServer httpServer;
    private ConfigPoller poller;

    private AgentDaemon(Parts parts) {
        this.parts = parts;
        this.control = ControlLoop.start("control-" + parts.name(), metrics);
        this.eventLoops = new MultiThreadIoEventLoopGroup(
                NETWORK_THREADS, new DefaultThreadFactory("net-" + parts.name(), true), NioIoHandler.newFactory());
        this.backend =
                new BackendClient(parts.http(), parts.backendUrl(), parts.probePath(), new BackendEventForwarder());
        this.core = AgentCore.create(
                parts.name(), Incarnation.next(), parts.options(), SteadyClock.create(), new Port(), metrics);
    }

    /** Starts an agent; it accepts requests as soon as routers connect. */
    public static AgentDaemon start(Parts parts) throws TanagerhingeException {
        AgentDaemon daemon = new AgentDaemon(parts);
        try {
            daemon.open();
        } catch (TanagerhingeException e) {
            daemon.close();
            throw e;
        }
        return daemon;
    }

    private void open() throws TanagerhingeException {
        Peer self = Peer.agent(parts.name().value(), core.incarnation());
        int sockets = Descriptors.forSockets(Descriptors.ofProcess());
        linkServer = LinkServer.start(
                eventLoops,
                parts.listen(),
                self,
                parts.secret(),
                parts.peerIdle(),
                Math.min(parts.connectionBounds().unauthenticated(), sockets / 4),
                new LinkEventForwarder());
        registerGauges();
        httpServer = HttpServer.start(
                parts.metricsAddress(),
                HttpServer.Limits.of(
                        Math.min(parts.connectionBounds().status(), sockets / 4),
                        parts.connectionBounds().statusMemoryBytes()),
                Map.of(
                        "/metrics", () -> Page.text(200, metrics.text()),
                        "/healthz", () -> Page.text(200, "ok\n"),
                        "/readyz", this::readinessPage),
                new Handler.Abstract() {
                    @Override
                    public boolean handle(
                            org.eclipse.jetty.server.Request request,
                            org.eclipse.jetty.server.Response response,
                            org.eclipse.jetty.util.Callback callback) {
                        return false;
                    }
                });
        poller = ConfigPoller.start(
                ConfigStore.in(parts.platform()),
                () -> links.isEmpty() ? DISCONNECTED_POLL_INTERVAL : parts.pollInterval(),
                config -> control.post(() -> core.applyConfig(config)),
                metrics);
        control.scheduleEvery(TICK_INTERVAL, core::onTick);
        LogSetup.setNodeName(parts.name().value());
        LogLine.of(LogEvent.STARTED)
                .with(LogField.WHY, "listening on port " + linkServer.port())
                .write();
    }

    private void registerGauges() {
        metrics.registerGauge("queue_length", "Requests queued", () -> control.query(core::queueLength));
        metrics.registerGauge("in_flight", "Requests at the backend server", () -> control.query(core::inFlight));
        metrics.registerGauge(
                "concurrency_limit",
                "Requests that may be at the backend server",
                () -> control.query(core::concurrencyLimit));
        metrics.registerGauge(
                "backend_healthy",
                "1 if the backend server answers",
                () -> control.query(core::isBackendHealthy) ? 1 : 0);
        metrics.registerGauge("links", "Routers connected", () -> links.size());
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
        boolean ready = control.query(() -> core.config().isComplete());
        return ready ? Page.text(200, "ready\n") : Page.text(503, "no configuration has been read yet\n");
    }

    /** Returns the revision of the active configuration. */
    public ConfigRevision revision() {
        return control.query(core::configRevision);
    }

    /** Returns the number of requests at the backend server. */
    public int inFlight() {
        return control.query(core::inFlight);
    }

    /** Returns the port that routers connect to. */
    public int port() {
        return linkServer.port();
    }

    /** Returns the port that metrics are served on. */
    public int metricsPort() {
        return httpServer.port();
    }

    public NodeMetrics metrics() {
        return metrics;
    }

    @Override
    public void beginStop(Duration timeLeft) {
        stopBegunNanos = System.nanoTime();
        control.post(core::beginStop);
    }

    @Override
    public boolean isDrained() {
        return System.nanoTime() - stopBegunNanos >= ROUTER_NOTICE.toNanos() && control.query(core::isDrained);
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
        if (httpServer != null) {
            httpServer.close();
        }
        if (linkServer != null) {
            linkServer.close();
        }
        eventLoops.shutdownGracefully(0, 500, java.util.concurrent.TimeUnit.MILLISECONDS);
        control.close();
    }

    /** Performs the I/O that the core requests; called on the control thread. */
    private final class Port implements AgentPort {
        @Override
        public void send(RouterId router, Frame.FromAgent frame) {
            Link link = links.get(router);
            if (link != null) {
                link.send(frame);
            }
        }

        @Override
        public void start(Run run) {
            RequestLog.sent(run.submit().request(), parts.name(), run.submit().timeLeft());
            backend.start(run);
        }

        @Override
        public void abort(long runId) {
            backend.abort(runId);
        }

        @Override
        public void probe() {
            backend.probe(answered -> control.post(() -> core.onProbeResult(answered)));
        }

        @Override
        public void setPaused(long runId, boolean paused) {
            backend.setPaused(runId, paused);
        }

        @Override
        public void count(String reason) {
            metrics.count(reason);
        }

        @Override
        public void configApplied(ClusterConfig config) {
            LogLine.of(LogEvent.CONFIGURATION)
                    .with(LogField.CONFIG, config.revision().toString())
                    .write();
        }
    }

    /** Posts events of the backend server to the control thread. */
    private final class BackendEventForwarder implements BackendListener {
        @Override
        public void onHead(long runId, int status, String contentType) {
            control.post(() -> core.onResponseHead(runId, status, contentType));
        }

        @Override
        public void onSoftwareVersion(long runId, String softwareVersion) {
            control.post(() -> core.onSoftwareVersion(runId, softwareVersion));
        }

        @Override
        public void onOutput(long runId, long units, byte[] data) {
            control.post(() -> core.onOutput(runId, units, data));
        }

        @Override
        public void onFinished(long runId, String finishReason) {
            control.post(() -> core.onCompleted(runId, finishReason));
        }

        @Override
        public void onFailed(long runId, boolean reachedBackend, ResultCode code, String detail) {
            control.post(() -> core.onFailed(runId, reachedBackend, code, detail));
        }
    }

    /** Posts events of links to the control thread. */
    private final class LinkEventForwarder implements LinkListener {
        @Override
        public void onUp(Link link) {
            control.post(() -> {
                RouterId router = routerIdOf(link);
                Link previous = links.put(router, link);
                core.onRouterConnected(router);
                if (previous != null) {
                    previous.close();
                }
            });
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            if (frame instanceof Frame.FromRouter message) {
                control.post(() -> {
                    RouterId router = routerIdOf(link);
                    if (links.get(router) == link) {
                        core.onFrame(router, message);
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
                RouterId router = routerIdOf(link);
                if (links.remove(router, link)) {
                    core.onRouterDisconnected(router);
                }
            });
        }

        @Override
        public void onRefused(String reason) {
            metrics.count("link_refused_" + reason);
        }

        private static RouterId routerIdOf(Link link) {
            return RouterId.of(link.peer().name(), link.peer().incarnation());
        }
    }
}
