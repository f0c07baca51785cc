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
    private static final int COME_BACK_MILLIS = 300;
    /** Idle connections and silent servers are looked through this often, in milliseconds. */
    private static final long SWEEP_MILLIS = 250;
    /** A server that owes events and says nothing for so long gets no new work: twice the longest usual pause. */
    private static final long SILENT_MILLIS = 500;
    /** Streams that can be resumed leave a server that has been silent for so long. */
    private static final long LEAVE_MILLIS = 900;
    /** If this node itself stood still for longer than this, it can't tell who was silent. */
    private static final long STOOD_STILL_MILLIS = 2 * SWEEP_MILLIS;

    private final EventLoopGroup loop;
    private final Dialect dialect;
    private final GatewayOptions options;
    private final NodeMetrics metrics;
    private final BackendPool pool;
    private final ServerDirectory directory = ServerDirectory.create();
    private final PlacementPolicy placement;
    private final RetryBudget budget;
    private final RankGate ranks = RankGate.create();
    private final ServerAnnouncements words = ServerAnnouncements.create();
    private final Quarantine quarantine = Quarantine.create();
    private final EndedServers endedServers = new EndedServers(this);
    private final Set<CallerConnection> callers = new HashSet<>();
    private final Set<RelayExchange> exchanges = new HashSet<>();
    private Optional<RelayConfig> config = Optional.empty();
    private byte[] configDocument;
    private boolean peersHeard;
    private int peersPresent;
    private long lastSweep;
    private BiConsumer<ServerInstance, Prompt> sentListener = (server, prompt) -> {};
    private Consumer<RequestFingerprint> heldListener = request -> {};
    private Runnable suspicionListener = () -> {};
    private Consumer<String> begunListener = workspace -> {};
    private volatile boolean draining;
    private volatile int inProgress;

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
        this.pool = new BackendPool(loop, dialect, this::now, this::count, this::answered);
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
    public long now() {
        return System.nanoTime() / 1_000_000;
    }

    Dialect dialect() {
        return dialect;
    }

    BackendPool pool() {
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

    RankGate ranks() {
        return ranks;
    }

    ServerAnnouncements words() {
        return words;
    }

    /** Takes what a server says of itself in an answer. */
    private void answered(ServerInstance server, int status, AnswerTerms terms) {
        long now = now();
        if (terms.leaving() && words.recordLeaving(server.instanceId(), now)) {
            tellLeaving(server.id(), "said so in an answer");
            count("server_leaving_said");
        }
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                && terms.retryAfterMillis().isPresent()) {
            long millis = terms.retryAfterMillis().getAsLong();
            words.recordBackoff(server.instanceId(), now + millis);
            count("server_wants_nothing");
            LogLine.of(LogEvent.SERVER_WANTS_NOTHING)
                    .with(LogField.SERVER, server.id())
                    .with(LogField.RETRY_AFTER_MS, millis)
                    .write();
        }
    }

    /** A peer was told by a server that it leaves. */
    void heardThatLeaves(String life) {
        if (words.recordPeerReportedLeaving(life, now())) {
            tellLeaving(life, "told by a peer");
            count("server_leaving_heard");
        }
    }

    private static void tellLeaving(String server, String why) {
        LogLine.of(LogEvent.SERVER_LEAVING)
                .with(LogField.SERVER, server)
                .with(LogField.WHY, why)
                .write();
    }

    Quarantine quarantine() {
        return quarantine;
    }

    EndedServers endedServers() {
        return endedServers;
    }

    /** Tells {@code listener} of each request that this node has found to end servers. */
    void onHeld(Consumer<RequestFingerprint> listener) {
        heldListener = listener;
    }

    /** Runs {@code listener} whenever there is news of suspected requests. */
    void onSuspicion(Runnable listener) {
        suspicionListener = listener;
    }

    /** Tells {@code listener} the workspace of each request that a server begins. */
    void onBegan(Consumer<String> listener) {
        begunListener = listener;
    }

    void serverBegan(String workspace) {
        begunListener.accept(workspace);
    }

    /** A server has ended while requests were in progress there. */
    void endedUnder(ServerInstance server, Set<RequestFingerprint> requests) {
        for (RequestFingerprint request : requests) {
            if (quarantine.ended(request, server.instanceId(), now())) {
                tellHeld(request, "servers ended under it, " + server.id() + " the last");
                heldListener.accept(request);
            }
        }
        suspicionListener.run();
    }

    /** Takes what a peer tells of a request. */
    void heard(Quarantine.Suspicion suspicion) {
        if (quarantine.hear(suspicion, now())) {
            tellHeld(suspicion.request(), "told by a peer");
        }
    }

    /** Takes a quarantine from the platform's store. */
    void held(RequestFingerprint request) {
        if (quarantine.hold(request, now())) {
            tellHeld(request, "told by the store");
        }
    }

    private void tellHeld(RequestFingerprint request, String why) {
        count("request_held");
        LogLine.failure(LogEvent.REQUEST_HELD)
                .with(LogField.FINGERPRINT, request.toString())
                .with(LogField.WHY, why)
                .write();
    }

    String domain() {
        return options.domain();
    }

    /** Returns whether a mechanism is in use; an experiment may have switched it off. */
    boolean uses(Mechanism mechanism) {
        return !options.off().contains(mechanism);
    }

    GatewayOptions options() {
        return options;
    }

    /** Takes bounds that have changed. */
    void bounds(GatewayOptions.Bounds newer) {
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
        return directory.hasList() ? (now() - directory.newestListMillis()) / 1000.0 : Double.NaN;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    CallerLimits limits() {
        return config.map(RelayConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    Future<?> schedule(Runnable task, long millis) {
        return loop.next().schedule(() -> survives(task), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a step now and again after each pause, also after one that threw. */
    void repeat(Runnable step, LongSupplier pauseMillis) {
        survives(step);
        schedule(() -> repeat(step, pauseMillis), pauseMillis.getAsLong());
    }

    /**
     * Runs a task of the event loop, which keeps what it throws to itself; returns whether it threw nothing. What goes wrong
     * without it: a loop ends unseen with the first step that throws, and what it kept up to date stays as it is.
     */
    boolean survives(Runnable task) {
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
        boolean wasInformed = informed();
        config = Optional.of(newer);
        configDocument = document;
        LogLine.of(LogEvent.CONFIGURATION)
                .with(LogField.CONFIG, newer.version())
                .with(LogField.ROUTES, newer.routeCount())
                .with(LogField.RANKS, newer.rankSummary())
                .write();
        placement.updateMinEventGap(newer.minEventGapMillis());
        tellWaiting(wasInformed);
        return true;
    }

    /** Takes a list of registered servers that was asked for at a time; returns whether it changed anything. */
    boolean apply(List<ServerRegistration> registrations, long askedAt) {
        boolean wasInformed = informed();
        List<ServerChange> changes = directory.apply(registrations, askedAt);
        for (ServerChange change : changes) {
            LogLine.of(event(change.kind()))
                    .with(LogField.SERVER, change.id())
                    .with(LogField.SERVICE, change.service())
                    .write();
            if (change.kind() == ServerChange.Kind.REMOVED) {
                placement.forgetInstance(change.instanceId());
            }
        }
        tellWaiting(wasInformed);
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
    void keeps(String life, List<PromptPart> parts) {
        ServerInstance server = directory.instance(life);
        if (server != null && config.isPresent()) {
            placement.recordPeerPrefill(server, config.get().service(server.service()), parts, now());
        }
    }

    /** Tells {@code listener} of each prompt that an engine is given to read. */
    void onSent(BiConsumer<ServerInstance, Prompt> listener) {
        sentListener = listener;
    }

    void sent(PlacementRequest request, PlacementPolicy.Decision placed) {
        placed.server().recordSent(placed.tokensToPrefill());
        placement.recordSent(request, placed, now());
        sentListener.accept(placed.server(), request.prompt());
    }

    /**
     * Returns the servers of a service that a request may be sent to: none that leaves or wants nothing for now. Ejected
     * ones are left out as long as half of the servers are left: when most seem to fail, the cause is hardly theirs, and
     * leaving them out would only crowd the rest.
     */
    List<ServerInstance> candidates(String service, Set<String> tried, long now) {
        List<ServerInstance> open = directory.available(service).stream()
                .filter(server -> words.acceptsRequests(server.instanceId(), now))
                .toList();
        List<ServerInstance> usable = new ArrayList<>();
        List<ServerInstance> untried = new ArrayList<>();
        int sound = 0;
        for (ServerInstance server : open) {
            boolean fine = !uses(Mechanism.EJECTION) || (server.health().usable(now) && !silent(server, now));
            sound += fine ? 1 : 0;
            if (!tried.contains(server.id())) {
                untried.add(server);
                if (fine) {
                    usable.add(server);
                }
            }
        }
        for (ServerInstance server : untried) {
            if (uses(Mechanism.EJECTION) && server.health().probeDue(now)) {
                if (uses(Mechanism.PROBING)) {
                    server.health().recordProbe(now);
                    return List.of(server);
                }
                server.health().recordSuccess();
            }
        }
        return usable.isEmpty() || sound * 2 < open.size() ? untried : usable;
    }

    private boolean silent(ServerInstance server, long now) {
        return now - lastSweep < STOOD_STILL_MILLIS && server.silenceMillis(now) > SILENT_MILLIS;
    }

    void attemptFailed(ServerInstance server, AttemptEnd end) {
        count("attempt_" + end.name().toLowerCase(Locale.ROOT));
        boolean wasUsable = server.health().usable(now());
        switch (end) {
            case NOT_SENT, SILENT -> server.health().recordUnreachable(now());
            case SERVER_ERROR, BROKEN, CUT -> server.health().recordFailure(now());
            case NOT_RUN, WRONG_SERVER -> {}
        }
        tellHealth(server, wasUsable);
    }

    void answered(ServerInstance server, int status) {
        boolean wasUsable = server.health().usable(now());
        if (status >= 500) {
            server.health().recordFailure(now());
        } else {
            server.health().recordSuccess();
        }
        tellHealth(server, wasUsable);
    }

    private void tellHealth(ServerInstance server, boolean wasUsable) {
        boolean usable = server.health().usable(now());
        if (usable != wasUsable) {
            count(usable ? "server_back" : "server_ejected");
            LogLine.of(usable ? LogEvent.SERVER_BACK : LogEvent.SERVER_EJECTED, !usable)
                    .with(LogField.SERVER, server.id())
                    .with(LogField.SERVICE, server.service())
                    .write();
        }
    }

    void load(ServerInstance server, AnswerTerms.ServerLoad load) {
        if (!peersHeard) {
            server.updateReportedLoad(load.running(), load.waiting());
        }
    }

    /** Notes whether peers tell what they have in progress, which is fresher than what servers tell. */
    void peersHeard(boolean heard) {
        peersHeard = heard;
    }

    /** Notes how many peers were heard of late. */
    void peersPresent(int count) {
        peersPresent = count;
    }

    int peersPresent() {
        return peersPresent;
    }

    /** Notes that another incarnation answers at a server's address. */
    void replaced(ServerInstance server) {
        LogLine.of(LogEvent.SERVER_REPLACED)
                .with(LogField.SERVER, server.id())
                .with(LogField.SERVICE, server.service())
                .write();
        directory.removeReplaced(server);
        placement.forgetInstance(server.instanceId());
    }

    /** Returns a number drawn evenly from 0 to 1. */
    double draw() {
        return ThreadLocalRandom.current().nextDouble();
    }

    /** Returns how long a caller that is refused should wait, in milliseconds. */
    long comeBackMillis() {
        return COME_BACK_MILLIS + ThreadLocalRandom.current().nextInt(COME_BACK_MILLIS);
    }

    /** Returns how long a caller for whom there is no server should wait: until the first one takes requests again. */
    long comeBackMillis(String service) {
        long now = now();
        long first = directory.available(service).stream()
                .filter(server -> !words.isLeaving(server.instanceId(), now))
                .mapToLong(server -> words.backoffMillis(server.instanceId(), now))
                .min()
                .orElse(0);
        return first == 0
                ? comeBackMillis()
                : first + ThreadLocalRandom.current().nextInt(COME_BACK_MILLIS);
    }

    void opened(CallerConnection caller) {
        callers.add(caller);
    }

    void closed(CallerConnection caller) {
        callers.remove(caller);
    }

    void began(RelayExchange exchange) {
        exchanges.add(exchange);
        inProgress = exchanges.size();
    }

    void ended(RelayExchange exchange) {
        exchanges.remove(exchange);
        inProgress = exchanges.size();
    }

    /** Returns whether this node should be given new connections. */
    boolean ready() {
        return !draining && informed();
    }

    /** Returns whether this node knows a configuration and the servers. */
    boolean informed() {
        return config.isPresent() && directory.hasList();
    }

    private void tellWaiting(boolean wasInformed) {
        if (!wasInformed && informed()) {
            Set.copyOf(exchanges).forEach(RelayExchange::informed);
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
    int inProgress() {
        return inProgress;
    }

    /** Closes callers' connections on which nothing is in progress. */
    void closeIdleCallers() {
        Set.copyOf(callers).forEach(CallerConnection::closeIfIdle);
    }

    /** Ends what is still in progress, at the bound of a planned stop. */
    void stopNow() {
        Set.copyOf(exchanges).forEach(RelayExchange::stopNow);
    }

    private void sweep() {
        long now = now();
        boolean stoodStill = now - lastSweep > STOOD_STILL_MILLIS;
        lastSweep = now;
        if (stoodStill) {
            directory.all().forEach(server -> server.recordReceived(now));
        } else {
            Set.copyOf(exchanges).forEach(exchange -> exchange.leaveSilentServer(LEAVE_MILLIS));
        }
        Set.copyOf(callers).forEach(caller -> caller.sweep(now));
        pool.sweep(server -> words.isLeaving(server.instanceId(), now));
        quarantine.trim(now);
        words.removeExpired(now);
    }
}
