package org.tanagerhinge.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerhinge.core.attempt.AttemptEnd;
import org.tanagerhinge.core.attempt.Quarantine;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RankGate;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.ServerAnnouncements;
import org.tanagerhinge.core.relay.ServerChange;
import org.tanagerhinge.core.relay.ServerDirectory;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** What one node believes and does, on its event loop thread: the state that all exchanges share. */
public final class Gateway {
    /** Callers that are refused come back after this time and up to twice it, so that they don't return as one wave. */
    private static final int MIN_RETRY_AFTER_MILLIS = 300;
    /** Idle connections and silent servers are looked through this often, in milliseconds. */
    private static final long SWEEP_MILLIS = 250;
    /** A server that owes events and says nothing for so long gets no new work: twice the longest usual pause. */
    private static final long SILENT_SERVER_MILLIS = 500;
    /** Streams that can be resumed leave a server that has been silent for so long. */
    private static final long ABANDON_STREAM_MILLIS = 900;
    /** If this node itself stood still for longer than this, it can't tell who was silent. */
    private static final long STALL_MILLIS = 2 * SWEEP_MILLIS;

    private final EventLoopGroup loop;
    private final Dialect dialect;
    private final GatewayOptions options;
    private final NodeMetrics metrics;
    private final BackendConnectionPool pool;
    private final ServerDirectory directory = ServerDirectory.create();
    private final PlacementPolicy placement;
    private final RetryBudget budget;
    private final RankGate rankGate = RankGate.create();
    private final ServerAnnouncements serverAnnouncements = ServerAnnouncements.create();
    private final Quarantine quarantine = Quarantine.create();
    private final CrashDetector crashDetector = new CrashDetector(this);
    private final Set<CallerConnection> callers = new HashSet<>();
    private final Set<RelayExchange> exchanges = new HashSet<>();
    private Optional<RelayConfig> config = Optional.empty();
    private byte[] configDocument;
    private boolean peerLoadAvailable;
    private int peersPresent;
    private long lastSweepMillis;
    private BiConsumer<ServerInstance, Prompt> sentListener = (server, prompt) -> {};
    private Consumer<RequestFingerprint> quarantineListener = request -> {};
    private Runnable suspicionListener = () -> {};
    private Consumer<String> executionListener = workspace -> {};
    private volatile boolean draining;
    private volatile int inFlight;

    private Gateway(
            EventLoopGroup loop,
            Dialect dialect,
            GatewayOptions options,
            NodeMetrics metrics,
            PlacementPolicy placement) {
        this.loop = loop;
        this.dialect = dialect;
        this.options = options;
        this.metrics = metrics;
        this.placement = placement;
        this.pool = new BackendConnectionPool(loop, dialect, this::nowMillis, this::count, this::responseReceived);
        GatewayOptions.Bounds bounds = options.bounds();
        this.budget = RetryBudget.of(
                bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindow().toMillis());
    }

    /** Returns a gateway that knows nothing yet. */
    public static Gateway create(
            EventLoopGroup loop,
            Dialect dialect,
            GatewayOptions options,
            NodeMetrics metrics,
            PlacementPolicy placement) {
        Gateway gateway = new Gateway(loop, dialect, options, metrics, placement);
        gateway.schedule(() -> gateway.repeat(gateway::sweep, () -> SWEEP_MILLIS), SWEEP_MILLIS);
        return gateway;
    }

    /** Returns the steady time in milliseconds; it has no relation to the time of day, which may jump. */
    public long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    Dialect dialect() {
        return dialect;
    }

    BackendConnectionPool pool() {
        return pool;
    }

    ServerDirectory directory() {
        return directory;
    }

    PlacementPolicy placement() {
        return placement;
    }

    RetryBudget budget() {
        return budget;
    }

    RankGate rankGate() {
        return rankGate;
    }

    ServerAnnouncements serverAnnouncements() {
        return serverAnnouncements;
    }

    /** Takes what a server says of itself in an answer. */
    private void responseReceived(ServerInstance server, int status, BackendResponseMetadata metadata) {
        long nowMillis = nowMillis();
        if (metadata.leaving() && serverAnnouncements.recordLeaving(server.instanceId(), nowMillis)) {
            logServerLeaving(server.id(), "said so in an answer");
            count("server_leaving_said");
        }
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                && metadata.retryAfterMillis().isPresent()) {
            long millis = metadata.retryAfterMillis().getAsLong();
            serverAnnouncements.recordBackoff(server.instanceId(), nowMillis + millis);
            count("server_wants_nothing");
            LogLine.of(LogEvent.SERVER_WANTS_NOTHING)
                    .with(LogField.SERVER, server.id())
                    .with(LogField.RETRY_AFTER_MS, millis)
                    .write();
        }
    }

    /** A peer was told by a server that it leaves. */
    void serverLeavingReported(String instanceId) {
        if (serverAnnouncements.recordPeerReportedLeaving(instanceId, nowMillis())) {
            logServerLeaving(instanceId, "told by a peer");
            count("server_leaving_heard");
        }
    }

    private static void logServerLeaving(String server, String reason) {
        LogLine.of(LogEvent.SERVER_LEAVING)
                .with(LogField.SERVER, server)
                .with(LogField.WHY, reason)
                .write();
    }

    Quarantine quarantine() {
        return quarantine;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    /** Tells {@code listener} of each request that this node has found to end servers. */
    void onQuarantine(Consumer<RequestFingerprint> listener) {
        quarantineListener = listener;
    }

    /** Runs {@code listener} whenever there is news of suspected requests. */
    void onSuspicion(Runnable listener) {
        suspicionListener = listener;
    }

    /** Tells {@code listener} the workspace of each request that a server begins. */
    void onExecutionStarted(Consumer<String> listener) {
        executionListener = listener;
    }

    void executionStarted(String workspace) {
        executionListener.accept(workspace);
    }

    /** A server has ended while requests were in progress there. */
    void serverCrashed(ServerInstance server, Set<RequestFingerprint> requests) {
        for (RequestFingerprint request : requests) {
            if (quarantine.ended(request, server.instanceId(), nowMillis())) {
                logQuarantine(request, "servers ended under it, " + server.id() + " the last");
                quarantineListener.accept(request);
            }
        }
        suspicionListener.run();
    }

    /** Takes what a peer tells of a request. */
    void suspicionReceived(Quarantine.Suspicion suspicion) {
        if (quarantine.hear(suspicion, nowMillis())) {
            logQuarantine(suspicion.request(), "told by a peer");
        }
    }

    /** Takes a quarantine from the platform's store. */
    void quarantinedInStore(RequestFingerprint request) {
        if (quarantine.hold(request, nowMillis())) {
            logQuarantine(request, "told by the store");
        }
    }

    private void logQuarantine(RequestFingerprint request, String reason) {
        count("request_held");
        LogLine.failure(LogEvent.REQUEST_HELD)
                .with(LogField.FINGERPRINT, request.toString())
                .with(LogField.WHY, reason)
                .write();
    }

    String domain() {
        return options.domain();
    }

    /** Returns whether a mechanism is in use; an experiment may have switched it off. */
    boolean enabled(Mechanism mechanism) {
        return !options.disabledMechanisms().contains(mechanism);
    }

    GatewayOptions options() {
        return options;
    }

    /** Takes bounds that have changed. */
    void updateBounds(GatewayOptions.Bounds newer) {
        budget.terms(newer.retryRatio(), newer.retrySlack(), newer.retryWindow().toMillis());
    }

    /** Returns the configuration in force, if there is one yet. */
    public Optional<RelayConfig> config() {
        return config;
    }

    /** Returns the version of the configuration in force, 0 if there is none. */
    long configVersion() {
        return config.map(RelayConfig::version).orElse(0L);
    }

    /** Returns how old the list of servers is, in seconds; not a number if there is none. */
    double serversAgeSeconds() {
        return directory.hasList() ? (nowMillis() - directory.newestListMillis()) / 1000.0 : Double.NaN;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    CallerLimits limits() {
        return config.map(RelayConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    Future<?> schedule(Runnable task, long millis) {
        return loop.next().schedule(() -> runGuarded(task), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a step now and again after each pause, also after one that threw. */
    void repeat(Runnable step, LongSupplier delayMillis) {
        runGuarded(step);
        schedule(() -> repeat(step, delayMillis), delayMillis.getAsLong());
    }

    /**
     * Runs a task of the event loop, which keeps what it throws to itself; returns whether it threw nothing. What goes wrong
     * without it: a loop ends unseen with the first step that throws, and what it kept up to date stays as it is.
     */
    boolean runGuarded(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            count("task_failed");
            LogLine.failure(LogEvent.TASK_FAILED)
                    .with(LogField.WHY, String.valueOf(e))
                    .write();
            return false;
        }
    }

    void count(String reason) {
        metrics.count(reason);
    }

    /** Returns the document of the configuration in force, as the operators wrote it. */
    Optional<byte[]> configDocument() {
        return Optional.ofNullable(configDocument);
    }

    /** Puts a configuration in force unless a newer one is; returns whether it did. */
    boolean apply(RelayConfig newer, byte[] document) {
        if (config.isPresent() && config.get().version() >= newer.version()) {
            return false;
        }
        boolean wasInitialized = initialized();
        config = Optional.of(newer);
        configDocument = document;
        LogLine.of(LogEvent.CONFIGURATION)
                .with(LogField.CONFIG, newer.version())
                .with(LogField.ROUTES, newer.routeCount())
                .with(LogField.RANKS, newer.rankSummary())
                .write();
        placement.updateMinEventGap(newer.minEventGapMillis());
        notifyInitialized(wasInitialized);
        return true;
    }

    /** Takes a list of registered servers that was asked for at a time; returns whether it changed anything. */
    boolean apply(List<ServerRegistration> registrations, long requestedAtMillis) {
        boolean wasInitialized = initialized();
        List<ServerChange> changes = directory.apply(registrations, requestedAtMillis);
        for (ServerChange change : changes) {
            LogLine.of(event(change.kind()))
                    .with(LogField.SERVER, change.id())
                    .with(LogField.SERVICE, change.service())
                    .write();
            if (change.kind() == ServerChange.Kind.REMOVED) {
                placement.forgetInstance(change.instanceId());
            }
        }
        notifyInitialized(wasInitialized);
        return !changes.isEmpty();
    }

    private static LogEvent event(ServerChange.Kind kind) {
        return switch (kind) {
            case ADDED -> LogEvent.SERVER_SEEN;
            case DRAINING -> LogEvent.SERVER_DRAINING;
            case REMOVED -> LogEvent.SERVER_GONE;
        };
    }

    /** Notes that a peer gave an engine parts of a prompt to read. */
    void promptSentByPeer(String instanceId, List<PromptPart> parts) {
        ServerInstance server = directory.instance(instanceId);
        if (server != null && config.isPresent()) {
            placement.recordPeerPrefill(server, config.get().service(server.service()), parts, nowMillis());
        }
    }

    /** Tells {@code listener} of each prompt that an engine is given to read. */
    void onSent(BiConsumer<ServerInstance, Prompt> listener) {
        sentListener = listener;
    }

    void requestSent(PlacementRequest request, PlacementPolicy.Decision placed) {
        placed.server().recordSent(placed.tokensToPrefill());
        placement.recordSent(request, placed, nowMillis());
        sentListener.accept(placed.server(), request.prompt());
    }

    /**
     * Returns the servers of a service that a request may be sent to: none that leaves or wants nothing for now. Ejected
     * ones are left out as long as half of the servers are left: when most seem to fail, the cause is hardly theirs, and
     * leaving them out would only crowd the rest.
     */
    List<ServerInstance> candidates(String service, Set<String> triedServers, long nowMillis) {
        List<ServerInstance> open = directory.available(service).stream()
                .filter(server -> serverAnnouncements.acceptsRequests(server.instanceId(), nowMillis))
                .toList();
        List<ServerInstance> usable = new ArrayList<>();
        List<ServerInstance> untried = new ArrayList<>();
        int healthyCount = 0;
        for (ServerInstance server : open) {
            boolean healthy =
                    !enabled(Mechanism.EJECTION) || (server.health().usable(nowMillis) && !silent(server, nowMillis));
            healthyCount += healthy ? 1 : 0;
            if (!triedServers.contains(server.id())) {
                untried.add(server);
                if (healthy) {
                    usable.add(server);
                }
            }
        }
        for (ServerInstance server : untried) {
            if (enabled(Mechanism.EJECTION) && server.health().probeDue(nowMillis)) {
                if (enabled(Mechanism.PROBING)) {
                    server.health().recordProbe(nowMillis);
                    return List.of(server);
                }
                server.health().recordSuccess();
            }
        }
        return usable.isEmpty() || healthyCount * 2 < open.size() ? untried : usable;
    }

    private boolean silent(ServerInstance server, long nowMillis) {
        return nowMillis - lastSweepMillis < STALL_MILLIS && server.silenceMillis(nowMillis) > SILENT_SERVER_MILLIS;
    }

    void attemptFailed(ServerInstance server, AttemptEnd end) {
        count("attempt_" + end.name().toLowerCase(Locale.ROOT));
        boolean wasUsable = server.health().usable(nowMillis());
        switch (end) {
            case NOT_SENT, SILENT -> server.health().recordUnreachable(nowMillis());
            case SERVER_ERROR, BROKEN, CUT -> server.health().recordFailure(nowMillis());
            case NOT_RUN, WRONG_SERVER -> {}
        }
        logHealthChange(server, wasUsable);
    }

    void responseReceived(ServerInstance server, int status) {
        boolean wasUsable = server.health().usable(nowMillis());
        if (status >= 500) {
            server.health().recordFailure(nowMillis());
        } else {
            server.health().recordSuccess();
        }
        logHealthChange(server, wasUsable);
    }

    private void logHealthChange(ServerInstance server, boolean wasUsable) {
        boolean usable = server.health().usable(nowMillis());
        if (usable != wasUsable) {
            count(usable ? "server_back" : "server_ejected");
            LogLine.of(usable ? LogEvent.SERVER_BACK : LogEvent.SERVER_EJECTED, !usable)
                    .with(LogField.SERVER, server.id())
                    .with(LogField.SERVICE, server.service())
                    .write();
        }
    }

    void loadReported(ServerInstance server, BackendResponseMetadata.ServerLoad load) {
        if (!peerLoadAvailable) {
            server.updateReportedLoad(load.running(), load.waiting());
        }
    }

    /** Notes whether peers tell what they have in progress, which is fresher than what servers tell. */
    void peerLoadAvailable(boolean available) {
        peerLoadAvailable = available;
    }

    /** Notes how many peers were heard of late. */
    void peersPresent(int count) {
        peersPresent = count;
    }

    int peersPresent() {
        return peersPresent;
    }

    /** Notes that another incarnation answers at a server's address. */
    void serverReplaced(ServerInstance server) {
        LogLine.of(LogEvent.SERVER_REPLACED)
                .with(LogField.SERVER, server.id())
                .with(LogField.SERVICE, server.service())
                .write();
        directory.removeReplaced(server);
        placement.forgetInstance(server.instanceId());
    }

    /** Returns a number drawn evenly from 0 to 1. */
    double randomFraction() {
        return ThreadLocalRandom.current().nextDouble();
    }

    /** Returns how long a caller that is refused should wait, in milliseconds. */
    long retryAfterMillis() {
        return MIN_RETRY_AFTER_MILLIS + ThreadLocalRandom.current().nextInt(MIN_RETRY_AFTER_MILLIS);
    }

    /** Returns how long a caller for whom there is no server should wait: until the first one takes requests again. */
    long retryAfterMillis(String service) {
        long nowMillis = nowMillis();
        long firstMillis = directory.available(service).stream()
                .filter(server -> !serverAnnouncements.isLeaving(server.instanceId(), nowMillis))
                .mapToLong(server -> serverAnnouncements.backoffMillis(server.instanceId(), nowMillis))
                .min()
                .orElse(0);
        return firstMillis == 0
                ? retryAfterMillis()
                : firstMillis + ThreadLocalRandom.current().nextInt(MIN_RETRY_AFTER_MILLIS);
    }

    void callerConnected(CallerConnection caller) {
        callers.add(caller);
    }

    void callerDisconnected(CallerConnection caller) {
        callers.remove(caller);
    }

    void exchangeStarted(RelayExchange exchange) {
        exchanges.add(exchange);
        inFlight = exchanges.size();
    }

    void exchangeEnded(RelayExchange exchange) {
        exchanges.remove(exchange);
        inFlight = exchanges.size();
    }

    /** Returns whether this node should be given new connections. */
    boolean ready() {
        return !draining && initialized();
    }

    /** Returns whether this node knows a configuration and the servers. */
    boolean initialized() {
        return config.isPresent() && directory.hasList();
    }

    private void notifyInitialized(boolean wasInitialized) {
        if (!wasInitialized && initialized()) {
            Set.copyOf(exchanges).forEach(RelayExchange::gatewayInitialized);
        }
    }

    boolean draining() {
        return draining;
    }

    /** Begins a planned stop: not ready any more, and every answer ends its connection. */
    void beginStop() {
        draining = true;
    }

    /** Returns how many requests are in progress; from any thread. */
    int inFlight() {
        return inFlight;
    }

    /** Closes callers' connections on which nothing is in progress. */
    void closeIdleCallers() {
        Set.copyOf(callers).forEach(CallerConnection::closeIfIdle);
    }

    /** Ends what is still in progress, at the bound of a planned stop. */
    void abortExchanges() {
        Set.copyOf(exchanges).forEach(RelayExchange::abort);
    }

    private void sweep() {
        long nowMillis = nowMillis();
        boolean stalled = nowMillis - lastSweepMillis > STALL_MILLIS;
        lastSweepMillis = nowMillis;
        if (stalled) {
            directory.all().forEach(server -> server.recordReceived(nowMillis));
        } else {
            Set.copyOf(exchanges).forEach(exchange -> exchange.abandonSilentServer(ABANDON_STREAM_MILLIS));
        }
        Set.copyOf(callers).forEach(caller -> caller.sweep(nowMillis));
        pool.sweep(server -> serverAnnouncements.isLeaving(server.instanceId(), nowMillis));
        quarantine.trim(nowMillis);
        serverAnnouncements.removeExpired(nowMillis);
    }
}
