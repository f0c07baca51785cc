package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.tanagerhinge.core.attempt.AttemptHistory;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.attempt.SuspectRun;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.AgentLoad;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunOutcome;

/**
 * Implements the decisions of a router: admission, server choice, retries, resumption and refusal.
 *
 * <p>It runs on one thread and does no I/O. Public methods handle events; resulting actions go out through the {@link
 * RouterPort}.
 */
public final class RouterCore {
    static final Duration QUERY_RETRY_INTERVAL = Duration.ofMillis(200);
    static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final long MIN_MODEL_CREDIT_TOKENS = 64;
    private static final long MIN_SERVICE_CREDIT_BYTES = 64 * 1024;
    private static final long PROMPT_TOKENS_PER_UNIT = 16;
    /** Time after a run on trial that has shown nothing before which the next one doesn't begin. */
    private static final Duration TRIAL_REPEAT_DELAY = Duration.ofSeconds(5);

    private static final Duration EJECTION_CHECK_INTERVAL = Duration.ofMillis(300);
    /** Time between two ticks from which on the process counts as not having run in between. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(500);
    /** Time after a pause in which messages that arrived meanwhile are handled before timeouts are checked. */
    private static final Duration PAUSE_RECOVERY = Duration.ofMillis(500);

    /**
     * Codes of a not-run return that are not caused by load of the request's class; retrying these is not charged to
     * the retry budget.
     */
    private static final Set<ResultCode> BUDGET_FREE_CODES =
            EnumSet.of(ResultCode.SERVER_LEAVING, ResultCode.SERVER_DOWN, ResultCode.SERVICE_ERROR);

    private final RouterId id;
    private final RouterOptions options;
    private final InstantSource clock;
    private final RouterPort port;
    private final InvariantMonitor monitor;
    private final ServerTable servers;
    private final AgentLinks links;
    private final LoadBalancer loadBalancer;
    private final RetryBudget retryBudget;
    private final AnswerLengthEstimator answerLengths = new AnswerLengthEstimator();
    private final RequestResolver requestResolver = new RequestResolver();
    private final WorkspaceLimiter workspaceLimiter = new WorkspaceLimiter();
    private final ExchangeRegistry exchanges = new ExchangeRegistry();
    private final CrashAttribution crashAttribution = new CrashAttribution();
    private final IdempotencyClaims claims;
    private final ExchangeTimeouts timeouts;
    private ClusterConfig config = ClusterConfig.EMPTY;
    private Instant lastEjectionCheck = Instant.MIN;
    private Instant lastTickAt;
    private Instant checkTimeoutsFrom;
    private boolean lastTickLate;
    private boolean stopping;

    private RouterCore(
            RouterId id,
            RouterOptions options,
            InstantSource clock,
            RandomGenerator random,
            RouterPort port,
            InvariantMonitor monitor) {
        this.id = id;
        this.options = options;
        this.clock = clock;
        this.port = port;
        this.monitor = monitor;
        this.servers = new ServerTable(id.name(), options.maxLinksPerTarget());
        this.lastTickAt = clock.instant();
        this.checkTimeoutsFrom = lastTickAt;
        this.links = new AgentLinks(servers, port, options.heartbeatInterval(), this::inUse, this::onLinkDown);
        this.claims = new IdempotencyClaims(this, exchanges, links, port, options, clock);
        this.timeouts = new ExchangeTimeouts(this, claims, options);
        this.loadBalancer = new LoadBalancer(options.failureDomain(), random);
        this.retryBudget = RetryBudget.of(
                options.retryRatio(),
                options.retrySlack(),
                options.retryWindow().toMillis(),
                clock.instant().toEpochMilli(),
                nowMillis -> options.routers());
    }

    /** Creates the core of one router run. */
    public static RouterCore create(
            RouterId id,
            RouterOptions options,
            InstantSource clock,
            RandomGenerator random,
            RouterPort port,
            InvariantMonitor monitor) {
        return new RouterCore(id, options, clock, random, port, monitor);
    }

    public RouterId id() {
        return id;
    }

    public ConfigRevision revision() {
        return config.revision();
    }

    public ClusterConfig config() {
        return config;
    }

    public int inFlight() {
        return exchanges.size();
    }

    /** Returns the number of linked agents. */
    public int linkedAgents() {
        return (int) servers.all().stream().filter(ServerView::linked).count();
    }

    /** Returns the number of servers that are ejected for being slow. */
    public int ejectedServers() {
        return (int) servers.all().stream()
                .filter(view -> view.machine().isIn(ServerState.EJECTED))
                .count();
    }

    /** Returns whether a planned stop has begun. */
    public boolean stopping() {
        return stopping;
    }

    /** Returns whether a planned stop has begun and no request is in flight. */
    public boolean drained() {
        return stopping && exchanges.size() == 0;
    }

    // ---- events from callers

    /** Handles a request from a caller. */
    public void onRequest(IncomingRequest request) {
        switch (requestResolver.resolve(request)) {
            case RequestResolver.Resolution.Rejected rejected -> reject(request, rejected.failure());
            case RequestResolver.Resolution.Resolved resolved -> admit(request, resolved);
        }
    }

    private void admit(IncomingRequest request, RequestResolver.Resolution.Resolved resolved) {
        if (stopping) {
            reject(
                    request,
                    RequestFailure.notRun(
                            ResultCode.ROUTER_STOPPING, DEFAULT_RETRY_AFTER, "this router is shutting down"));
            return;
        }
        if (exchanges.size() >= options.maxExchanges()) {
            reject(
                    request,
                    RequestFailure.notRun(
                            ResultCode.QUEUE_FULL,
                            DEFAULT_RETRY_AFTER,
                            "this router is at its limit of requests in flight"));
            return;
        }
        crashAttribution.requestArrived(request.sharedParts());
        Optional<Duration> quarantinedFor = quarantinedFor(request, resolved.workspace());
        if (quarantinedFor.isPresent()) {
            reject(request, quarantineFailure(quarantinedFor.get()));
            return;
        }
        Optional<Duration> limiterWait = workspaceLimiter.tryAcquire(resolved.workspace(), resolved.profile(), now());
        if (limiterWait.isPresent()) {
            reject(
                    request,
                    RequestFailure.notRun(
                            ResultCode.RATE_LIMITED,
                            limiterWait.get(),
                            "workspace '" + resolved.workspace().id()
                                    + "' has reached its rate or concurrency limit for profile '"
                                    + resolved.profile().name() + "'"));
            return;
        }
        long expectedUnits = request.kind() == ServerKind.SERVICE
                ? 1
                : answerLengths.expectedUnits(
                        resolved.profile().name(), resolved.workspace().id());
        Exchange exchange = new Exchange(
                request,
                resolved.workspace(),
                resolved.profile(),
                resolved.target(),
                now(),
                expectedUnits,
                AttemptHistory.of(options.attemptLimits(resolved.profile().idempotent())));
        exchanges.add(exchange);
        retryBudget.recordRequest(resolved.profile().name().value(), now().toEpochMilli());
        dispatch(exchange);
    }

    private static SuspectRun suspectRun(Exchange exchange) {
        return CrashAttribution.suspectRun(exchange.request(), exchange.workspace());
    }

    /** Returns after how long a request may be sent; computes its fingerprint only if anything is suspected. */
    private Optional<Duration> quarantinedFor(IncomingRequest request, Workspace workspace) {
        return crashAttribution.isEmpty()
                ? Optional.empty()
                : crashAttribution.quarantinedFor(CrashAttribution.suspectRun(request, workspace), now());
    }

    private static RequestFailure quarantineFailure(Duration wait) {
        return RequestFailure.notRun(ResultCode.REQUEST_HELD, wait, ResultCode.REQUEST_HELD.meaning());
    }

    /** Refuses a request for which no exchange was created. */
    private void reject(IncomingRequest request, RequestFailure failure) {
        port.countDecision("refused_" + failure.code().label());
        port.refuse(request.id(), failure);
    }

    /** Handles the disconnection of a caller. */
    public void onCallerDisconnected(RequestId requestId) {
        Exchange exchange = exchanges.find(requestId);
        if (exchange != null) {
            cancelAttempt(exchange);
            close(exchange, RequestFailure.outcomeUnknown(ResultCode.CALLER_GONE, "the caller disconnected"));
        }
    }

    /** Handles that a caller consumed units of its answer, and grants the agent credit for them. */
    public void onCallerConsumed(RequestId requestId, long units) {
        Exchange exchange = exchanges.find(requestId);
        if (exchange == null || exchange.server() == null) {
            return;
        }
        exchange.recordRead(units, now());
        long minUnits =
                exchange.request().kind() == ServerKind.MODEL ? MIN_MODEL_CREDIT_TOKENS : MIN_SERVICE_CREDIT_BYTES;
        long creditUnits = exchange.takeDueCredit(units, minUnits);
        if (creditUnits > 0) {
            port.send(exchange.server(), new Frame.Credit(exchange.attemptNumber(), creditUnits));
        }
    }

    // ---- server choice

    void dispatch(Exchange exchange) {
        endTrial(exchange);
        Optional<Duration> quarantinedFor = quarantinedFor(exchange.request(), exchange.workspace());
        if (quarantinedFor.isPresent()) {
            refuse(exchange, withActualOutcome(exchange, quarantineFailure(quarantinedFor.get())));
            return;
        }
        Optional<ServerView> chosen = chooseServer(exchange);
        if (chosen.isEmpty()) {
            refuse(exchange, withActualOutcome(exchange, exchange.lastFailure().orElseGet(() -> noServer(exchange))));
            return;
        }
        exchange.onTrial(!crashAttribution.isEmpty() && crashAttribution.takeTrial(suspectRun(exchange), now()));
        exchange.assignServer(chosen.get().server().id(), chosen.get().incarnation());
        if (exchange.keyed()) {
            claims.requestClaim(exchange);
        } else {
            exchange.advanceGeneration();
            submit(exchange);
        }
    }

    /** Ends a trial whose attempt has ended without showing anything, so that another request may have it. */
    private void endTrial(Exchange exchange) {
        if (exchange.onTrial()) {
            Duration delay = exchange.mayHaveRun() ? TRIAL_REPEAT_DELAY : Duration.ZERO;
            crashAttribution.endTrial(suspectRun(exchange), now().plus(delay));
            exchange.onTrial(false);
        }
    }

    /** Returns the server for the next attempt of an exchange. */
    private Optional<ServerView> chooseServer(Exchange exchange) {
        List<ServerView> candidates = servers.accepting(exchange.request().kind(), exchange.target()).stream()
                .filter(view -> !exchange.triedServers().contains(view.server().id()))
                .toList();
        if (exchange.resumes() && !exchange.softwareVersion().isEmpty()) {
            candidates = ofVersion(candidates, exchange.softwareVersion());
        }
        return switch (options.policy()) {
            case RouterOptions.Policy.LeastTime any -> loadBalancer.leastExpectedTime(candidates, exchange, now());
            case RouterOptions.Policy.RoundRobin any -> loadBalancer.roundRobin(candidates);
        };
    }

    /**
     * Returns the servers of a software version, or those that haven't stated one yet if there is none; the agent of such
     * a server fails the run if the version turns out to be another.
     */
    private List<ServerView> ofVersion(List<ServerView> candidates, String softwareVersion) {
        List<ServerView> matching = candidates.stream()
                .filter(view -> view.load().softwareVersion().equals(softwareVersion))
                .toList();
        if (!matching.isEmpty()) {
            return matching;
        }
        port.countDecision("no_server_of_version");
        return candidates.stream()
                .filter(view -> view.load().softwareVersion().isEmpty())
                .toList();
    }

    private static RequestFailure noServer(Exchange exchange) {
        return RequestFailure.notRun(
                ResultCode.NO_SERVER,
                DEFAULT_RETRY_AFTER,
                "no backend server for '" + exchange.target() + "' is reachable");
    }

    void submit(Exchange exchange) {
        monitor.check(
                Invariant.AT_MOST_ONCE,
                exchange.idempotent() || !exchange.attemptUnresolved(),
                () -> exchange + " is sent again while an earlier attempt is unresolved");
        ServerView view = servers.find(exchange.server()).orElseThrow();
        exchange.machine().fire(ExchangeEvent.SUBMIT);
        exchanges.startAttempt(exchange, now());
        boolean resumes = exchange.resumes();
        long expectedUnits = exchange.expectedUnits();
        view.recordSubmission(expectedUnits + exchange.request().promptUnits() / PROMPT_TOKENS_PER_UNIT, now());
        exchange.storedClaim().ifPresent(claim -> reportClaim(view, claim));
        port.send(
                exchange.server(),
                new Frame.Submit(
                        exchange.attemptNumber(),
                        exchange.id(),
                        exchange.work(),
                        exchange.timeLeft(now()),
                        exchange.execution(),
                        exchange.claimTerms(),
                        resumes ? exchange.deliveredText() : "",
                        resumes ? exchange.deliveredUnits() : 0,
                        resumes ? exchange.softwareVersion() : "",
                        expectedUnits));
    }

    /** Reports a claim to another agent than its executor, so that it is known if both router and executor end. */
    private void reportClaim(ServerView executor, StoredClaim claim) {
        servers.otherClaimKeeper(executor.server(), claim.entry().digest())
                .ifPresent(keeper -> port.send(keeper, new Frame.ClaimReport(List.of(claim))));
    }

    /** Handles the store's decision on a claim, or the lack of one. */
    public void onClaimDecided(long sequence, ClaimDecision decision) {
        claims.onDecision(sequence, decision);
    }

    // ---- links

    /** Handles that the connection to an agent is established. */
    public void onLinkUp(ServerId server, long incarnation) {
        Optional<ServerView> found = servers.find(server);
        if (found.isEmpty()) {
            return;
        }
        ServerView view = found.get();
        if (view.linked()) {
            onLinkDown(server);
        }
        view.resetConnectionState();
        view.incarnation(incarnation);
        view.machine().fire(ServerEvent.LINK);
        view.lastUsedAt(now());
        port.send(server, Frame.Heartbeat.of(config.revision(), port.storeEra()));
        exchanges.all().stream()
                .filter(exchange -> exchange.in(ExchangeState.UNCERTAIN) && server.equals(exchange.server()))
                .forEach(claims::attach);
    }

    /** Handles the loss of the connection to an agent. */
    public void onLinkDown(ServerId server) {
        Optional<ServerView> found = servers.find(server).filter(ServerView::linked);
        if (found.isEmpty()) {
            return;
        }
        found.get().machine().fire(ServerEvent.UNLINK);
        found.get().resetConnectionState();
        exchanges.all().stream()
                .filter(exchange -> server.equals(exchange.server()))
                .forEach(exchange -> exchange.attached(false));
        exchanges.all().stream()
                .filter(exchange -> exchange.stalledAttempt()
                        .filter(stalled -> server.equals(stalled.server()))
                        .isPresent())
                .forEach(exchange -> endStalledAttempt(
                        exchange, ResultCode.CONNECTION_LOST, "the connection to the agent was lost"));
        List<Exchange> affected = exchanges.all().stream()
                .filter(exchange -> server.equals(exchange.server()))
                .filter(exchange -> exchange.in(ExchangeState.SUBMITTED) || exchange.in(ExchangeState.RUNNING))
                .toList();
        affected.forEach(exchange -> onAttemptLost(
                exchange,
                ResultCode.CONNECTION_LOST,
                "the connection to the agent was lost before the answer was complete"));
    }

    /** Handles an attempt that is unreachable and may have run. */
    void onAttemptLost(Exchange exchange, ResultCode code, String detail) {
        exchanges.forgetAttempt(exchange);
        port.attemptFailed(exchange.id(), exchange.server(), code, RunOutcome.UNKNOWN, detail);
        if (exchange.idempotent()) {
            retryOrRefuse(exchange, code, detail);
        } else {
            port.countDecision("doubt_" + code.label());
            exchange.machine().fire(ExchangeEvent.DOUBT);
            exchange.waitingSince(now());
        }
    }

    /**
     * Retries an idempotent request, resuming a partial answer, or refuses it if the time left or the budget forbids.
     */
    private void retryOrRefuse(Exchange exchange, ResultCode code, String detail) {
        boolean retriesDisabled = options.policy() instanceof RouterOptions.Policy.RoundRobin;
        boolean notResumable = !resumable(exchange);
        exchange.triedServers().add(exchange.server());
        exchange.attemptMayHaveRun();
        if (exchange.stalledAttempt().isPresent()) {
            resumeStalledAttempt(exchange);
            return;
        }
        if (retriesDisabled || notResumable || !mayRetry(exchange, true)) {
            refuse(exchange, RequestFailure.outcomeUnknown(code, detail));
        } else if (!tryTakeRetry(exchange)) {
            port.countDecision("retry_refused_" + ResultCode.RETRY_BUDGET_SPENT.label());
            refuse(
                    exchange,
                    new RequestFailure(ResultCode.RETRY_BUDGET_SPENT, RunOutcome.UNKNOWN, DEFAULT_RETRY_AFTER, detail));
        } else {
            port.countDecision("retry_" + code.label());
            exchange.machine().fire(ExchangeEvent.LOSE);
            dispatch(exchange);
        }
    }

    /** Returns whether another server could give the rest of the answer. */
    private static boolean resumable(Exchange exchange) {
        return exchange.request().kind() == ServerKind.MODEL || !exchange.anythingDelivered();
    }

    /**
     * Sends an idempotent request whose attempt has stalled to another server, if one may take it over. Both go on until one
     * of them produces output: a server that is slow to answer may still be the first, or the only one, that does.
     */
    void replaceStalledAttempt(Exchange exchange) {
        boolean permitted = exchange.stalledAttempt().isEmpty()
                && resumable(exchange)
                && exchange.history()
                        .couldRetryAfterRuns(1, exchange.timeLeft(now()).toMillis())
                && quarantinedFor(exchange.request(), exchange.workspace()).isEmpty()
                && retryBudget.allows(exchange.profile().name().value(), now().toEpochMilli());
        if (!permitted) {
            return;
        }
        exchange.triedServers().add(exchange.server());
        Optional<ServerView> replacement = chooseServer(exchange);
        if (replacement.isEmpty() || !tryTakeRetry(exchange)) {
            return;
        }
        port.countDecision("retry_" + ResultCode.STALLED.label());
        exchange.keepStalledAttempt();
        exchange.machine().fire(ExchangeEvent.LOSE);
        exchange.assignServer(replacement.get().server().id(), replacement.get().incarnation());
        exchange.advanceGeneration();
        submit(exchange);
    }

    /** Makes a stalled attempt the only one of its exchange, after the one that was to replace it has ended. */
    private void resumeStalledAttempt(Exchange exchange) {
        exchange.restoreStalledAttempt(now());
        exchange.machine().tryFire(ExchangeEvent.START);
    }

    private void endStalledAttempt(Exchange exchange, ResultCode code, String detail) {
        Exchange.StalledAttempt stalled = exchange.stalledAttempt().orElseThrow();
        port.attemptFailed(exchange.id(), stalled.server(), code, RunOutcome.UNKNOWN, detail);
        exchanges.forgetStalledAttempt(exchange);
    }

    private void cancelStalledAttempt(Exchange exchange) {
        exchange.stalledAttempt()
                .filter(stalled -> links.isLinked(stalled.server()))
                .ifPresent(stalled -> port.send(stalled.server(), new Frame.Cancel(stalled.number(), false)));
    }

    // ---- messages from agents

    /** Handles a message from an agent. */
    public void onFrame(ServerId server, Frame.FromAgent frame) {
        Optional<ServerView> found = servers.find(server).filter(ServerView::linked);
        if (found.isEmpty()) {
            return;
        }
        ServerView view = found.get();
        switch (frame) {
            case Frame.Queued queued -> findByAttempt(queued.attempt(), server).ifPresent(this::onQueued);
            case Frame.Started started ->
                findByAttempt(started.attempt(), server)
                        .filter(exchange -> !exchange.isStalledAttempt(started.attempt()))
                        .ifPresent(this::onStarted);
            case Frame.Head head -> findProducing(head.attempt(), server).ifPresent(exchange -> onHead(exchange, head));
            case Frame.Chunk chunk ->
                findProducing(chunk.attempt(), server).ifPresent(exchange -> onChunk(exchange, chunk));
            case Frame.Done done -> {
                onLoad(view, done.load());
                findProducing(done.attempt(), server).ifPresent(exchange -> onDone(exchange, done));
            }
            case Frame.NotRun notRun -> {
                onLoad(view, notRun.load());
                findByAttempt(notRun.attempt(), server).ifPresent(exchange -> onNotRun(exchange, notRun));
            }
            case Frame.Failed failed -> {
                onLoad(view, failed.load());
                findByAttempt(failed.attempt(), server).ifPresent(exchange -> onFailed(exchange, view, failed));
            }
            case Frame.LoadReport report -> onLoad(view, report.load());
            case Frame.ClaimReport report -> port.keepClaims(report.claims());
            case Frame.Heartbeat heartbeat -> {
                view.acceptsClaimReports(heartbeat.acceptsClaimReports());
                if (heartbeat.storeEra() > port.storeEra()) {
                    port.checkStoreEra(heartbeat.storeEra());
                }
                if (config.revision().isBehind(heartbeat.revision())) {
                    port.send(server, new Frame.ConfigPull());
                }
            }
            case Frame.ConfigPull pull -> port.send(server, new Frame.ConfigPush(config));
            case Frame.ConfigPush push -> applyConfig(push.config());
        }
    }

    private Optional<Exchange> findByAttempt(long attempt, ServerId server) {
        Optional<Exchange> found = exchanges.findByAttempt(attempt, server);
        if (found.isEmpty()) {
            port.countDecision("late_message");
        }
        return found;
    }

    /** Returns the exchange of an attempt that produces output, and cancels the other one if a stalled one was kept. */
    private Optional<Exchange> findProducing(long attempt, ServerId server) {
        Optional<Exchange> found = findByAttempt(attempt, server);
        found.filter(exchange -> exchange.stalledAttempt().isPresent()).ifPresent(exchange -> {
            if (exchange.isStalledAttempt(attempt)) {
                port.countDecision("stalled_attempt_resumed");
                port.send(exchange.server(), new Frame.Cancel(exchange.attemptNumber(), false));
                exchanges.forgetAttempt(exchange);
                resumeStalledAttempt(exchange);
            } else {
                cancelStalledAttempt(exchange);
                endStalledAttempt(
                        exchange, ResultCode.STALLED, "the backend server produced no output within the timeout");
            }
        });
        return found;
    }

    private void onLoad(ServerView view, AgentLoad load) {
        view.recordLoad(load, now());
        recordIfDown(view);
    }

    /** Attributes recent failed runs to a crash of the server if it no longer accepts work. */
    private void recordIfDown(ServerView view) {
        if (!view.load().accepting()
                && crashAttribution.recordServerDown(view.server().id(), now()) > 0) {
            port.countDecision("request_held");
        }
    }

    /**
     * Updates the ejections of all groups of peers.
     *
     * <p>This runs at an interval and not on each load report, because it reads all peers and its cost would grow with
     * the square of their number.
     */
    private void updateEjections(Instant now) {
        if (!lastEjectionCheck.equals(Instant.MIN)
                && lastEjectionCheck.plus(EJECTION_CHECK_INTERVAL).isAfter(now)) {
            return;
        }
        lastEjectionCheck = now;
        for (Collection<ServerView> peers : servers.linkedByTargets()) {
            loadBalancer.updateEjections(
                    peers, () -> port.countDecision("server_ejected"), () -> port.countDecision("server_returned"));
        }
    }

    private void onQueued(Exchange exchange) {
        if (exchange.in(ExchangeState.UNCERTAIN)) {
            exchange.machine().fire(ExchangeEvent.SUBMIT);
        }
    }

    private void onStarted(Exchange exchange) {
        if (exchange.in(ExchangeState.UNCERTAIN)) {
            exchange.machine().fire(ExchangeEvent.SUBMIT);
        }
        exchange.machine().tryFire(ExchangeEvent.START);
        exchange.recordProgress(now());
    }

    private void onHead(Exchange exchange, Frame.Head head) {
        onStarted(exchange);
        if (!exchange.headSent()) {
            exchange.headSent(now());
            port.deliverHead(exchange.id(), head.status(), head.contentType());
        }
    }

    private void onChunk(Exchange exchange, Frame.Chunk chunk) {
        onStarted(exchange);
        long deliveredUnits = exchange.deliveredUnits();
        if (chunk.offsetUnits() + chunk.units() <= deliveredUnits) {
            port.send(exchange.server(), new Frame.Credit(exchange.attemptNumber(), chunk.units()));
            return;
        }
        if (chunk.offsetUnits() != deliveredUnits) {
            port.send(exchange.server(), new Frame.Cancel(exchange.attemptNumber(), exchange.keyed()));
            onAnswerCut(
                    exchange,
                    "answer chunk starts at unit " + chunk.offsetUnits() + " where unit " + deliveredUnits
                            + " was expected");
            return;
        }
        if (deliveredUnits == 0) {
            servers.find(exchange.server())
                    .ifPresent(view -> exchange.softwareVersion(view.load().softwareVersion()));
        }
        exchange.delivered(chunk.units(), chunk.data(), now());
        port.deliverChunk(exchange.id(), chunk.units(), chunk.data());
    }

    private void onAnswerCut(Exchange exchange, String detail) {
        exchanges.forgetAttempt(exchange);
        port.attemptFailed(exchange.id(), exchange.server(), ResultCode.ANSWER_CUT, RunOutcome.UNKNOWN, detail);
        if (exchange.idempotent()) {
            retryOrRefuse(exchange, ResultCode.ANSWER_CUT, detail);
        } else {
            refuse(exchange, RequestFailure.outcomeUnknown(ResultCode.ANSWER_CUT, detail));
        }
    }

    private void onDone(Exchange exchange, Frame.Done done) {
        onStarted(exchange);
        if (done.totalUnits() != exchange.deliveredUnits()) {
            onAnswerCut(
                    exchange,
                    done.totalUnits() + " units were produced, " + exchange.deliveredUnits() + " were received");
            return;
        }
        monitor.recordHeld(Invariant.WHOLE_ANSWER);
        if (!crashAttribution.isEmpty() || !exchange.request().sharedParts().isEmpty()) {
            crashAttribution.recordCompletedRun(suspectRun(exchange), now());
        }
        exchange.machine().fire(ExchangeEvent.FINISH);
        exchanges.remove(exchange);
        workspaceLimiter.release(exchange.workspace(), exchange.profile());
        if (exchange.request().kind() == ServerKind.MODEL) {
            answerLengths.addSample(
                    exchange.profile().name(), exchange.workspace().id(), done.totalUnits());
        }
        port.complete(exchange.id(), done.finishReason(), done.totalUnits());
        port.exchangeEnded(outcome(exchange, ResultCode.OK, RunOutcome.COMPLETE));
    }

    private void onNotRun(Exchange exchange, Frame.NotRun notRun) {
        if (exchange.isStalledAttempt(notRun.attempt())) {
            endStalledAttempt(exchange, notRun.code(), notRun.code().meaning());
            return;
        }
        exchanges.forgetAttempt(exchange);
        RequestFailure failure = RequestFailure.notRun(
                notRun.code(), notRun.retryAfter(), notRun.code().meaning());
        port.attemptFailed(exchange.id(), exchange.server(), notRun.code(), RunOutcome.NOT_RUN, failure.detail());
        if (exchange.in(ExchangeState.UNCERTAIN)) {
            onConfirmedNotRun(exchange, failure);
            return;
        }
        if (exchange.stalledAttempt().isPresent()) {
            resumeStalledAttempt(exchange);
            return;
        }
        boolean costsBudget = !BUDGET_FREE_CODES.contains(notRun.code());
        exchange.attemptNotRun(failure);
        exchange.machine().fire(ExchangeEvent.RETURN);
        boolean retriesDisabled = options.policy() instanceof RouterOptions.Policy.RoundRobin;
        if (retriesDisabled || !mayRetry(exchange, false)) {
            refuse(exchange, withActualOutcome(exchange, failure));
        } else if (costsBudget && !tryTakeRetry(exchange)) {
            port.countDecision("retry_refused_" + ResultCode.RETRY_BUDGET_SPENT.label());
            refuse(exchange, withActualOutcome(exchange, failure));
        } else {
            port.countDecision("retry_" + notRun.code().label());
            dispatch(exchange);
        }
    }

    private boolean mayRetry(Exchange exchange, boolean newestMayHaveRun) {
        return exchange.history()
                .mayRetry(newestMayHaveRun, exchange.timeLeft(now()).toMillis());
    }

    /** Takes one retry from the budget of the request's profile, if one is left. */
    private boolean tryTakeRetry(Exchange exchange) {
        return retryBudget.tryTake(exchange.profile().name().value(), now().toEpochMilli());
    }

    /** Returns a failure with an unknown outcome if any attempt may have run, although the newest did not. */
    private static RequestFailure withActualOutcome(Exchange exchange, RequestFailure failure) {
        return exchange.mayHaveRun()
                ? new RequestFailure(failure.code(), RunOutcome.UNKNOWN, failure.retryAfter(), failure.detail())
                : failure;
    }

    /** Retries a request whose agent reports that the unresolved attempt did not run. */
    private void onConfirmedNotRun(Exchange exchange, RequestFailure failure) {
        exchange.confirmNotRun();
        exchange.machine().fire(ExchangeEvent.SUBMIT);
        exchange.machine().fire(ExchangeEvent.RETURN);
        if (!mayRetry(exchange, false)) {
            refuse(exchange, failure);
        } else {
            port.countDecision("retry_settled_not_run");
            dispatch(exchange);
        }
    }

    private void onFailed(Exchange exchange, ServerView view, Frame.Failed failed) {
        crashAttribution.recordFailedRun(view.server().id(), suspectRun(exchange), now());
        recordIfDown(view);
        if (exchange.isStalledAttempt(failed.attempt())) {
            endStalledAttempt(exchange, failed.code(), failed.detail());
            return;
        }
        exchanges.forgetAttempt(exchange);
        port.attemptFailed(exchange.id(), exchange.server(), failed.code(), RunOutcome.UNKNOWN, failed.detail());
        if (exchange.idempotent()) {
            retryOrRefuse(exchange, failed.code(), failed.detail());
        } else {
            refuse(exchange, RequestFailure.outcomeUnknown(failed.code(), failed.detail()));
        }
    }

    // ---- end of an exchange

    void refuse(Exchange exchange, RequestFailure failure) {
        monitor.check(
                Invariant.NOT_RUN_IS_TRUE,
                failure.outcome() != RunOutcome.NOT_RUN || provablyNotRun(exchange),
                () -> exchange + " is reported as not run although an attempt may have run");
        port.refuse(exchange.id(), failure);
        close(exchange, failure);
    }

    private static boolean provablyNotRun(Exchange exchange) {
        boolean noAttemptSent = exchange.in(ExchangeState.CHOOSING) || exchange.in(ExchangeState.CLAIMING);
        return noAttemptSent && !exchange.mayHaveRun();
    }

    private void close(Exchange exchange, RequestFailure failure) {
        endTrial(exchange);
        exchanges.remove(exchange);
        workspaceLimiter.release(exchange.workspace(), exchange.profile());
        if (!exchange.anythingDelivered() || !exchange.machine().tryFire(ExchangeEvent.CUT)) {
            exchange.machine().fire(ExchangeEvent.REFUSE);
        }
        if (failure.outcome() == RunOutcome.NOT_RUN) {
            exchange.claim().ifPresent(port::releaseClaim);
        }
        port.countDecision("refused_" + failure.code().label());
        port.exchangeEnded(outcome(exchange, failure.code(), failure.outcome()));
    }

    /**
     * Cancels the attempt at its agent; a keyed request keeps running, so that a retry with its key finds the result.
     */
    void cancelAttempt(Exchange exchange) {
        boolean sent = exchange.in(ExchangeState.SUBMITTED) || exchange.in(ExchangeState.RUNNING);
        if (sent && links.isLinked(exchange.server())) {
            port.send(exchange.server(), new Frame.Cancel(exchange.attemptNumber(), exchange.keyed()));
        }
        cancelStalledAttempt(exchange);
    }

    private ExchangeOutcome outcome(Exchange exchange, ResultCode code, RunOutcome runOutcome) {
        Duration timeToFirstOutput = exchange.firstOutputAt()
                .map(at -> Duration.between(exchange.arrivedAt(), at))
                .orElse(Duration.ZERO);
        return new ExchangeOutcome(
                exchange.id(),
                exchange.workspace().id(),
                exchange.profile().name(),
                code,
                runOutcome,
                timeToFirstOutput,
                Duration.between(exchange.arrivedAt(), now()),
                exchange.deliveredUnits(),
                exchange.attemptCount());
    }

    // ---- configuration, timer, shutdown

    /** Applies a configuration from the platform or a peer; documents that are not newer are ignored. */
    public void applyConfig(ClusterConfig offered) {
        ClusterConfig merged = config.merge(offered);
        ConfigRevision before = config.revision();
        if (!before.isBehind(merged.revision())) {
            return;
        }
        monitor.check(
                Invariant.CONFIG_FORWARD,
                !merged.revision().isBehind(before),
                () -> "configuration revision went back from " + before + " to " + merged.revision());
        boolean serversChanged = merged.servers().revision() > before.servers();
        config = merged;
        requestResolver.applyConfig(config);
        port.configApplied(config);
        links.applyConfig(config, serversChanged);
        links.broadcastRevision();
    }

    private boolean inUse(ServerId id) {
        return exchanges.all().stream().anyMatch(exchange -> exchange.isAt(id));
    }

    /** Begins a planned stop: new requests are rejected, those in flight are finished. */
    public void beginStop() {
        stopping = true;
    }

    /** Checks timeouts and does periodic work; called several times a second. */
    public void onTick() {
        Instant now = now();
        excludePause(now);
        if (!now.isBefore(checkTimeoutsFrom)) {
            for (Exchange exchange : exchanges.all()) {
                if (exchanges.contains(exchange)) {
                    timeouts.check(exchange, now);
                }
            }
        }
        updateEjections(now);
        links.tick(now);
        crashAttribution.evictExpired(now);
    }

    /** Excludes a time in which this process did not run from all waits, since messages may have arrived meanwhile. */
    private void excludePause(Instant now) {
        Duration sinceLastTick = Duration.between(lastTickAt, now);
        boolean late = sinceLastTick.compareTo(MIN_PAUSE) >= 0;
        if (late) {
            port.countDecision("process_paused");
            exchanges.all().forEach(exchange -> exchange.excludePause(sinceLastTick, now));
        }
        if (late && !lastTickLate) {
            checkTimeoutsFrom = now.plus(PAUSE_RECOVERY);
        }
        lastTickAt = now;
        lastTickLate = late;
    }

    private Instant now() {
        return clock.instant();
    }
}
