package org.tanagerhinge.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.core.relay.AdmissionPolicy;
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.relay.ConnectionShedding;
import org.tanagerhinge.core.relay.FleetSize;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.Prompt;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.ServerAnnouncements;
import org.tanagerhinge.core.relay.ServerChange;
import org.tanagerhinge.core.relay.ServerDirectory;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.relay.SoftwareVersions;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.node.daemon.Descriptors;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.metrics.NodeMetrics;

/**
 * Holds the state that all exchanges of a gateway share. All methods run on the event loop thread unless stated
 * otherwise.
 */
public final class Gateway {
    /**
     * Minimum Retry-After of a refusal; a random delay up to the same length is added so that callers do not return at
     * once.
     */
    private static final int MIN_RETRY_AFTER_MILLIS = 300;

    private static final long SWEEP_MILLIS = 250;
    private static final long MAX_METRICS_NANOS_PER_SECOND = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long REFUSALS_LOG_MILLIS = 1_000;
    /** Bodies of the largest size for which there is memory, whatever the heap is. */
    private static final long MIN_LARGE_REQUESTS = 2;
    /** A server that sends nothing for this long, twice the longest usual gap, to open streams gets no new requests. */
    private static final long SILENT_SERVER_MILLIS = 500;
    /** Resumable streams are sent to another server as well if theirs sends nothing for this long. */
    private static final long HEDGE_STREAM_MILLIS = 900;

    private static final long MIN_SERVER_MEMORY_BYTES = 4 << 20;

    /** Interval at which the delay of the event loop is measured. */
    private static final long LOOP_DELAY_INTERVAL_MILLIS = 50;
    /** If a sweep is this late, the event loop was stalled and the silence of servers cannot be measured. */
    private static final long STALL_MILLIS = 2 * SWEEP_MILLIS;

    private final EventLoopGroup loop;
    private final Dialect dialect;
    private final GatewayOptions options;
    private final NodeMetrics metrics;
    private final BackendConnectionPool pool;
    private final ServerDirectory directory = ServerDirectory.create();
    private final PlacementPolicy placement;
    private final FleetSize fleetSize;
    private final RetryBudget budget;
    private final StoreEra storeEra = StoreEra.create();
    private final AdmissionPolicy admission;
    private final ServerAnnouncements serverAnnouncements = ServerAnnouncements.create();
    private final CrashQuarantine crashQuarantine = new CrashQuarantine(this);
    private final CrashDetector crashDetector = new CrashDetector(this);
    private final ServerLivenessCheck livenessCheck;
    private final StreamTracker streams = StreamTracker.of(this);
    private final ConnectionShedding shedding = ConnectionShedding.create();
    private final OutcomeTelemetry outcomes = new OutcomeTelemetry(this);
    private final Set<CallerConnection> callers = new HashSet<>();
    private final MemoryBound callerMemory;
    private final MemoryBound serverMemory;
    private final ConnectionLimits connectionLimits;
    private final DecodingTurns decodingTurns = new DecodingTurns(System::nanoTime, this::schedule);
    private final Set<RelayExchange> exchanges = new HashSet<>();
    private final List<RecurringTask> tasks = new ArrayList<>();
    private Optional<RelayConfig> config = Optional.empty();
    private byte[] configDocument;
    private byte[] metricsText;
    private long metricsSecondNanos;
    private long metricsSpentNanos;
    private long configReceivedMillis;
    private boolean peerLoadAvailable;
    private int peersPresent;
    private long lastSweepMillis;
    private long loggedEvictions;
    private long refusalsLoggedMillis;
    private long sweepDelayMillis;
    private boolean measuringLoopDelay;
    private BiConsumer<ServerInstance, Prompt> sentListener = (server, prompt) -> {};
    private Consumer<String> executionListener = workspace -> {};
    private volatile boolean draining;
    private volatile long stopEndMillis;
    private volatile boolean intakeClosed;
    private volatile int inFlight;
    private volatile int callerConnections;

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
        this.admission = AdmissionPolicy.without(options.disabledMechanisms());
        this.livenessCheck = new ServerLivenessCheck(this, loop, dialect);
        this.serverMemory = new MemoryBound(this::serverMemoryLimit, this::nowMillis);
        this.pool = new BackendConnectionPool(
                loop, dialect, this::nowMillis, this::count, this::responseReceived, livenessCheck, serverMemory);
        this.connectionLimits = ConnectionLimits.of(
                options.limits().descriptors() > 0 ? options.limits().descriptors() : Descriptors.ofProcess());
        this.callerMemory = new MemoryBound(this::callerMemoryLimit, this::nowMillis);
        GatewayOptions.Bounds bounds = options.bounds();
        this.fleetSize = FleetSize.of(
                PeerCodec.text(options.peerAddress()), StoreSynchronizer.LEASE_TTL.toMillis(), nowMillis());
        this.budget = RetryBudget.of(
                bounds.retryRatio(),
                bounds.retrySlack(),
                bounds.retryWindow().toMillis(),
                options.firstStart() ? nowMillis() - bounds.retryWindow().toMillis() : nowMillis(),
                fleetSize::count);
    }

    /** Creates a gateway without a configuration and server list. */
    public static Gateway create(
            EventLoopGroup loop,
            Dialect dialect,
            GatewayOptions options,
            NodeMetrics metrics,
            PlacementPolicy placement) {
        Gateway gateway = new Gateway(loop, dialect, options, metrics, placement);
        loop.next()
                .scheduleWithFixedDelay(
                        () -> gateway.runGuarded(gateway::sweep), SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return gateway;
    }

    /** Returns the steady clock in milliseconds; unrelated to the wall clock, which may jump. */
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

    FleetSize fleetSize() {
        return fleetSize;
    }

    AdmissionPolicy admission() {
        return admission;
    }

    ServerAnnouncements serverAnnouncements() {
        return serverAnnouncements;
    }

    /** Records what a server announces about itself in a response. */
    private void responseReceived(ServerInstance server, int status, BackendResponseMetadata metadata) {
        long nowMillis = nowMillis();
        if (metadata.leaving() && serverAnnouncements.recordLeaving(server.instanceId(), nowMillis)) {
            logServerLeaving(server.id(), "announced by the server in a response");
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

    /** Records a peer's report that a server instance has announced that it leaves. */
    void serverLeavingReported(String instanceId) {
        if (serverAnnouncements.recordPeerReportedLeaving(instanceId, nowMillis())) {
            logServerLeaving(instanceId, "reported by a peer");
            count("server_leaving_heard");
        }
    }

    private static void logServerLeaving(String server, String reason) {
        LogLine.of(LogEvent.SERVER_LEAVING)
                .with(LogField.SERVER, server)
                .with(LogField.WHY, reason)
                .write();
    }

    CrashQuarantine crashQuarantine() {
        return crashQuarantine;
    }

    StreamTracker streams() {
        return streams;
    }

    OutcomeTelemetry outcomes() {
        return outcomes;
    }

    ServerLivenessCheck livenessCheck() {
        return livenessCheck;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    /** Registers the listener for the workspace of each request that a server starts to execute. */
    void onExecutionStarted(Consumer<String> listener) {
        executionListener = listener;
    }

    void executionStarted(String workspace) {
        executionListener.accept(workspace);
    }

    ConnectionShedding shedding() {
        return shedding;
    }

    /** Measures the delay of the event loop while this node gets far more new connections than others. */
    private void measureLoopDelay() {
        if (measuringLoopDelay || !shedding.skewed(nowMillis())) {
            return;
        }
        measuringLoopDelay = true;
        long dueMillis = nowMillis() + LOOP_DELAY_INTERVAL_MILLIS;
        schedule(
                () -> {
                    measuringLoopDelay = false;
                    recordLoopDelay(nowMillis() - dueMillis);
                    measureLoopDelay();
                },
                LOOP_DELAY_INTERVAL_MILLIS);
    }

    private void recordLoopDelay(long delayMillis) {
        boolean wasShedding = shedding.closedShare() > 0;
        shedding.recordLoopDelay(delayMillis, nowMillis());
        if (wasShedding != shedding.closedShare() > 0) {
            LogLine.of(wasShedding ? LogEvent.SHEDDING_ENDED : LogEvent.SHEDDING, !wasShedding)
                    .with(LogField.MS, delayMillis)
                    .with(LogField.CONNECTIONS, Math.round(shedding.connectionsPerSecond(nowMillis())))
                    .write();
        }
    }

    String domain() {
        return options.domain();
    }

    /** Returns whether a mechanism is enabled; an experiment may disable some. */
    boolean enabled(Mechanism mechanism) {
        return !options.disabledMechanisms().contains(mechanism);
    }

    GatewayOptions options() {
        return options;
    }

    /** Applies changed bounds. */
    void updateBounds(GatewayOptions.Bounds newer) {
        budget.setLimits(
                newer.retryRatio(), newer.retrySlack(), newer.retryWindow().toMillis(), nowMillis());
    }

    /** Returns the active configuration, if there is one yet. */
    public Optional<RelayConfig> config() {
        return config;
    }

    /** Returns the version of the active configuration, or 0 if there is none. */
    long configVersion() {
        return config.map(RelayConfig::version).orElse(0L);
    }

    /** Returns the time since the first gateway received the active configuration from the store, 0 without one. */
    long configAgeMillis() {
        return config.isPresent() ? nowMillis() - configReceivedMillis : 0;
    }

    /** Returns the tracker of the platform store's era. */
    StoreEra storeEra() {
        return storeEra;
    }

    /** Returns the age of the server list in seconds, or NaN if there is none. */
    double serversAgeSeconds() {
        return directory.hasList() ? (nowMillis() - directory.newestListMillis()) / 1000.0 : Double.NaN;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    CallerLimits limits() {
        return config.map(RelayConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    MemoryBound callerMemory() {
        return callerMemory;
    }

    DecodingTurns decodingTurns() {
        return decodingTurns;
    }

    ConnectionLimits connectionLimits() {
        return connectionLimits;
    }

    /** Returns the metrics as text, made anew unless half of the last second was spent on that. */
    byte[] metricsText() {
        long startNanos = System.nanoTime();
        if (startNanos - metricsSecondNanos >= TimeUnit.SECONDS.toNanos(1)) {
            metricsSecondNanos = startNanos;
            metricsSpentNanos = 0;
        }
        if (metricsText == null || metricsSpentNanos < MAX_METRICS_NANOS_PER_SECOND) {
            metricsText = metrics.text().getBytes(StandardCharsets.UTF_8);
            metricsSpentNanos += System.nanoTime() - startNanos;
        }
        return metricsText;
    }

    /** Returns the memory that requests and answers of callers may take; a single request inside the limits fits in. */
    long callerMemoryLimit() {
        long share = Runtime.getRuntime().maxMemory() * options.limits().callerMemoryPercent() / 100;
        return Math.max(share, MIN_LARGE_REQUESTS * limits().maxBodyBytes());
    }

    MemoryBound serverMemory() {
        return serverMemory;
    }

    /** Returns the memory that incomplete responses of servers may take; an event of the largest size fits in. */
    long serverMemoryLimit() {
        long share = Runtime.getRuntime().maxMemory() * options.limits().serverMemoryPercent() / 100;
        return Math.max(share, MIN_SERVER_MEMORY_BYTES);
    }

    Future<?> schedule(Runnable task, long millis) {
        return loop.next().schedule(() -> runGuarded(task), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a step now and again after each delay, also after a step that threw. */
    void repeat(String name, Runnable step, LongSupplier delayMillis) {
        RecurringTask[] task = new RecurringTask[1];
        task[0] = RecurringTask.of(
                this,
                name,
                () -> {
                    step.run();
                    task[0].runAfter(delayMillis.getAsLong());
                },
                delayMillis);
        task[0].run();
    }

    /** Starts a task again whenever it is overdue. */
    void watchOver(RecurringTask task) {
        tasks.add(task);
    }

    /** Returns the time since the last end of a run by task, in seconds, without tasks that have finished. */
    Map<String, Double> taskAgesSeconds() {
        long nowMillis = nowMillis();
        return tasks.stream()
                .filter(task -> !task.finished())
                .collect(Collectors.toMap(RecurringTask::name, task -> task.ageMillis(nowMillis) / 1000.0));
    }

    /**
     * Runs a task of the event loop and counts and logs what it throws; returns whether it completed normally. Errors
     * are caught as well: input that exhausts the stack must not end what the loop has to go on with.
     */
    boolean runGuarded(Runnable task) {
        try {
            task.run();
            return true;
        } catch (Throwable e) {
            count("task_failed");
            TaskFailure.log("event loop", e);
            return false;
        }
    }

    void count(String reason) {
        metrics.count(reason);
    }

    /** Returns the document of the active configuration as it was written. */
    Optional<byte[]> configDocument() {
        return Optional.ofNullable(configDocument);
    }

    /** Activates a configuration unless the active one is as new; returns whether it did. */
    boolean apply(RelayConfig newer, byte[] document, ConfigSource source) {
        if (config.isPresent() && config.get().version() >= newer.version()) {
            return false;
        }
        boolean wasInitialized = initialized();
        config = Optional.of(newer);
        configDocument = document;
        configReceivedMillis = nowMillis() - source.ageMillis();
        LogLine line = LogLine.of(LogEvent.CONFIGURATION)
                .with(LogField.CONFIG, newer.version())
                .with(LogField.SOURCE, source.label())
                .with(LogField.AGE_MS, source.ageMillis())
                .with(LogField.ROUTES, newer.routeCount())
                .with(LogField.RANKS, newer.rankSummary());
        if (!source.peer().isEmpty()) {
            line.with(LogField.SERVER, source.peer());
        }
        line.write();
        placement.updateMinEventGap(newer.minEventGapMillis());
        notifyInitialized(wasInitialized);
        return true;
    }

    /**
     * Applies a list of registered servers; returns whether it changed anything.
     *
     * @param position point in the store's history at which the list was read
     */
    boolean apply(List<ServerRegistration> registrations, long requestedAtMillis, StorePosition position) {
        boolean wasInitialized = initialized();
        List<ServerChange> changes = directory.apply(registrations, requestedAtMillis, position);
        for (ServerChange change : changes) {
            LogLine.of(event(change.kind()))
                    .with(LogField.SERVER, change.id())
                    .with(LogField.SERVICE, change.service())
                    .with(LogField.SOFTWARE, change.softwareVersion())
                    .write();
            if (change.kind() == ServerChange.Kind.REMOVED) {
                placement.forgetInstance(change.instanceId());
            }
        }
        streams.serversChanged(changes.stream().map(ServerChange::service).collect(Collectors.toSet()));
        notifyInitialized(wasInitialized);
        return !changes.isEmpty();
    }

    /** Adds the software versions that have left lately, as a peer or the platform's store knows them. */
    void softwareVersionHistory(List<SoftwareVersions.Departed> departed) {
        directory.versionHistory().recordHistory(departed, nowMillis());
        streams.serversChanged(
                departed.stream().map(SoftwareVersions.Departed::service).collect(Collectors.toSet()));
        streams.historyReceived();
    }

    private static LogEvent event(ServerChange.Kind kind) {
        return switch (kind) {
            case ADDED -> LogEvent.SERVER_SEEN;
            case DRAINING -> LogEvent.SERVER_DRAINING;
            case REMOVED -> LogEvent.SERVER_GONE;
        };
    }

    /** Records that a peer sent a prompt with these parts to a server instance. */
    void promptSentByPeer(String instanceId, List<PromptPart> parts) {
        ServerInstance server = directory.instance(instanceId);
        if (server != null && config.isPresent()) {
            placement.recordPeerSent(server, config.get().service(server.service()), parts, nowMillis());
        }
    }

    /** Registers the listener for each prompt that is sent to a server. */
    void onSent(BiConsumer<ServerInstance, Prompt> listener) {
        sentListener = listener;
    }

    void requestSent(PlacementRequest request, PlacementPolicy.Decision decision) {
        decision.server().recordSent(request.route().priority(), decision.tokensToPrefill());
        placement.recordSent(request, decision, nowMillis());
        sentListener.accept(decision.server(), request.prompt());
    }

    /**
     * Returns the servers of a service that a request may be sent to, without those that leave or want no requests.
     * Ejected servers are skipped while at least half of the servers are healthy; if most seem to fail, the cause is
     * probably elsewhere and skipping them would overload the rest.
     *
     * @param softwareVersion the software version that began the stream which the request continues
     * @param metUnreachableServer whether the request has met a server that can't be reached; it then goes to a server
     *     that isn't ejected if there is one, and probes no other
     */
    List<ServerInstance> candidates(
            String service,
            Optional<String> softwareVersion,
            Set<String> triedServers,
            boolean metUnreachableServer,
            long nowMillis) {
        List<ServerInstance> open = available(service, softwareVersion)
                .filter(server -> serverAnnouncements.acceptsRequests(server.instanceId(), nowMillis))
                .toList();
        List<ServerInstance> usable = new ArrayList<>();
        List<ServerInstance> untried = new ArrayList<>();
        int healthyCount = 0;
        for (ServerInstance server : open) {
            boolean healthy = healthy(server, nowMillis);
            healthyCount += healthy ? 1 : 0;
            if (!triedServers.contains(server.id())) {
                untried.add(server);
                if (healthy) {
                    usable.add(server);
                }
            }
        }
        if (metUnreachableServer && !usable.isEmpty()) {
            return usable;
        }
        boolean continues = softwareVersion.isPresent() && !usable.isEmpty();
        for (ServerInstance server : continues ? List.<ServerInstance>of() : untried) {
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

    /** Returns whether there is a server that {@link #candidates} may return. */
    boolean hasUntriedServer(String service, Optional<String> softwareVersion, Set<String> triedServers) {
        return untried(service, softwareVersion, triedServers, nowMillis())
                .findAny()
                .isPresent();
    }

    /** Returns those servers of {@link #candidates} that show no sign of failure: for requests that run elsewhere too. */
    List<ServerInstance> healthyCandidates(
            String service, Optional<String> softwareVersion, Set<String> triedServers, long nowMillis) {
        return untried(service, softwareVersion, triedServers, nowMillis)
                .filter(server -> healthy(server, nowMillis))
                .toList();
    }

    private Stream<ServerInstance> untried(
            String service, Optional<String> softwareVersion, Set<String> triedServers, long nowMillis) {
        return available(service, softwareVersion)
                .filter(server -> !triedServers.contains(server.id())
                        && serverAnnouncements.acceptsRequests(server.instanceId(), nowMillis));
    }

    private boolean healthy(ServerInstance server, long nowMillis) {
        return !enabled(Mechanism.EJECTION) || (server.health().usable(nowMillis) && !silent(server, nowMillis));
    }

    private Stream<ServerInstance> available(String service, Optional<String> softwareVersion) {
        return directory.available(service).stream()
                .filter(server ->
                        softwareVersion.isEmpty() || softwareVersion.get().equals(server.softwareVersion()));
    }

    /** Returns whether the event loop was stalled, so that what is read now may have arrived long before. */
    boolean stalled() {
        return nowMillis() - lastSweepMillis >= STALL_MILLIS;
    }

    /** Returns whether the event loop is stalled or was so at the last periodic check. */
    boolean recentlyStalled() {
        return stalled() || sweepDelayMillis >= STALL_MILLIS - SWEEP_MILLIS;
    }

    /** Returns how much later than planned the last periodic check began, in milliseconds. */
    long sweepDelayMillis() {
        return sweepDelayMillis;
    }

    private boolean silent(ServerInstance server, long nowMillis) {
        return !stalled() && server.silenceMillis(nowMillis) > SILENT_SERVER_MILLIS;
    }

    void attemptFailed(ServerInstance server, AttemptFailure failure) {
        count("attempt_" + failure.name().toLowerCase(Locale.ROOT));
        boolean wasUsable = server.health().usable(nowMillis());
        switch (failure) {
            case NOT_SENT, SILENT -> server.health().recordUnreachable(nowMillis());
            case SERVER_ERROR, BROKEN, MALFORMED, CUT -> server.health().recordFailure(nowMillis());
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
        load.workTime().ifPresent(factor -> placement.recordWorkTime(server, factor, nowMillis()));
    }

    /** Records whether peers report their load, which is fresher than the load that servers report. */
    void peerLoadAvailable(boolean available) {
        peerLoadAvailable = available;
    }

    /** Records how many peers reported recently. */
    void peersPresent(int count) {
        peersPresent = count;
    }

    int peersPresent() {
        return peersPresent;
    }

    /** Records that another instance answers at a server's address. */
    void serverReplaced(ServerInstance server) {
        LogLine.of(LogEvent.SERVER_REPLACED)
                .with(LogField.SERVER, server.id())
                .with(LogField.SERVICE, server.service())
                .write();
        directory.removeReplaced(server, nowMillis());
        placement.forgetInstance(server.instanceId());
    }

    /** Returns how long a refused caller should wait, in milliseconds. */
    long retryAfterMillis() {
        return MIN_RETRY_AFTER_MILLIS + ThreadLocalRandom.current().nextInt(MIN_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns how long a caller should wait until the first server of a service accepts requests again, in
     * milliseconds.
     */
    long retryAfterMillis(String service, Optional<String> softwareVersion) {
        long nowMillis = nowMillis();
        long firstMillis = available(service, softwareVersion)
                .filter(server -> !serverAnnouncements.isLeaving(server.instanceId(), nowMillis))
                .mapToLong(server -> serverAnnouncements.backoffMillis(server.instanceId(), nowMillis))
                .min()
                .orElse(0);
        return firstMillis == 0
                ? retryAfterMillis()
                : firstMillis + ThreadLocalRandom.current().nextInt(MIN_RETRY_AFTER_MILLIS);
    }

    /**
     * Records a new connection of a caller. If there are too many, another one is closed for it: first one that has sent no
     * complete request, then one that is idle, in each case the oldest.
     *
     * @return whether there is a place for the connection
     */
    boolean callerConnected(CallerConnection caller) {
        if (callers.size() >= connectionLimits.callers()) {
            count("caller_connections_exceeded");
            Optional<CallerConnection> other = callers.stream()
                    .filter(CallerConnection::dismissible)
                    .min(Comparator.comparing(CallerConnection::served)
                            .thenComparingLong(CallerConnection::idleSinceMillis));
            if (other.isEmpty()) {
                return false;
            }
            other.get().dismiss();
        }
        callers.add(caller);
        callerConnections = callers.size();
        return true;
    }

    void callerDisconnected(CallerConnection caller) {
        callers.remove(caller);
        callerConnections = callers.size();
    }

    void exchangeStarted(RelayExchange exchange) {
        exchanges.add(exchange);
        inFlight = exchanges.size();
    }

    void exchangeEnded(RelayExchange exchange) {
        exchanges.remove(exchange);
        inFlight = exchanges.size();
    }

    /** Returns whether this node accepts new connections. */
    boolean ready() {
        return !draining && initialized();
    }

    /** Returns whether this node has a configuration and a server list. */
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

    /**
     * Begins a graceful stop: readiness turns false, and each response closes its connection. May be called from any
     * thread.
     *
     * @param timeLeft time until requests in flight are aborted
     */
    void beginStop(Duration timeLeft) {
        stopEndMillis = nowMillis() + timeLeft.toMillis();
        draining = true;
    }

    /**
     * Returns whether a request should not be sent to a server any more: no new connections are accepted, and it may last
     * beyond the time at which requests in flight are aborted.
     */
    boolean mayOutlastStop(long deadlineMillis) {
        return intakeClosed && deadlineMillis > stopEndMillis;
    }

    /**
     * Returns whether a graceful stop accepts no more connections; idle ones are closed from then on. May be called from
     * any thread.
     */
    boolean intakeClosed() {
        return intakeClosed;
    }

    /** Closes idle connections from now on; called when no new ones are accepted. */
    void closeIntake() {
        intakeClosed = true;
    }

    /** Returns the number of requests in flight; may be called from any thread. */
    int inFlight() {
        return inFlight;
    }

    /** Refuses requests that have not been read completely, and closes connections without a request in flight. */
    void refuseUnreadRequests() {
        Set.copyOf(callers).forEach(CallerConnection::refuseUnread);
    }

    /** Returns the number of open caller connections; may be called from any thread. */
    int callerConnections() {
        return callerConnections;
    }

    /** Returns the number of bytes of answers that the kernel has not taken yet. */
    long unsentBytes() {
        return callers.stream().mapToLong(CallerConnection::unsentBytes).sum();
    }

    /** Logs which callers may not have received their answers when the process ends. */
    void logUndelivered() {
        callers.forEach(CallerConnection::logUndelivered);
    }

    /** Aborts the requests still in flight when the time for a graceful stop runs out. */
    void abortExchanges() {
        Set.copyOf(exchanges).forEach(RelayExchange::abort);
    }

    /** Runs the parts of the periodic maintenance; one that throws leaves the others unaffected. */
    private void sweep() {
        long nowMillis = nowMillis();
        boolean stalled = nowMillis - lastSweepMillis > STALL_MILLIS;
        sweepDelayMillis = Math.max(0, nowMillis - lastSweepMillis - SWEEP_MILLIS);
        lastSweepMillis = nowMillis;
        if (stalled) {
            directory.all().forEach(server -> server.recordReceived(nowMillis));
        } else {
            forEachGuarded(exchanges, exchange -> exchange.hedgeIfSilent(HEDGE_STREAM_MILLIS));
            restartOverdueTasks(nowMillis);
        }
        runGuarded(this::measureLoopDelay);
        runGuarded(() -> logRefusals(nowMillis));
        forEachGuarded(exchanges, exchange -> exchange.refreshOrigin(nowMillis));
        runGuarded(streams::sweep);
        forEachGuarded(callers, caller -> caller.sweep(nowMillis));
        runGuarded(() -> pool.sweep(server -> serverAnnouncements.isLeaving(server.instanceId(), nowMillis)));
        runGuarded(crashQuarantine::sweep);
        runGuarded(outcomes::sweep);
        runGuarded(() -> serverAnnouncements.removeExpired(nowMillis));
    }

    /** Logs at most once per interval how many requests found no memory. */
    private void logRefusals(long nowMillis) {
        long evictions = callerMemory.evictions();
        if (evictions > loggedEvictions && nowMillis - refusalsLoggedMillis >= REFUSALS_LOG_MILLIS) {
            LogLine.of(LogEvent.MEMORY_FULL, true)
                    .with(LogField.COUNT, evictions - loggedEvictions)
                    .with(LogField.HELD_BYTES, callerMemory.heldBytes())
                    .with(LogField.CONNECTIONS, callerConnections)
                    .write();
            loggedEvictions = evictions;
            refusalsLoggedMillis = nowMillis;
        }
    }

    void restartOverdueTasks(long nowMillis) {
        forEachGuarded(tasks, task -> task.runIfOverdue(nowMillis));
    }

    private <T> void forEachGuarded(Collection<T> items, Consumer<T> action) {
        for (T item : List.copyOf(items)) {
            runGuarded(() -> action.accept(item));
        }
    }
}
