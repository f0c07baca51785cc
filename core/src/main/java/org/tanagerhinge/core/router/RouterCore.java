package org.tanagerhinge.core.router;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
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
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.invariant.Promise;
import org.tanagerhinge.core.message.Call;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.Load;
import org.tanagerhinge.core.result.Refusal;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunState;

/**
 * Decides everything a router does, on one thread.
 *
 * <p>Every method is an event; what follows from it goes out through the {@link RouterPort}. The same code runs in the
 * daemon, in the random runs and in the benchmark.
 */
public final class RouterCore {
    static final Duration ASK_AGAIN = Duration.ofMillis(200);
    static final Duration COME_BACK = Duration.ofSeconds(1);
    private static final long MODEL_CREDIT_WORTH = 64;
    private static final long SERVICE_CREDIT_WORTH = 64 * 1024;
    private static final long PROMPT_TOKENS_PER_UNIT = 16;
    private static final Duration JUDGE_EVERY = Duration.ofMillis(300);

    /** Reasons for which a request comes back not run through no load of its class; trying elsewhere costs nothing. */
    private static final Set<ResultCode> FREE_RETURNS =
            EnumSet.of(ResultCode.SERVER_LEAVING, ResultCode.SERVER_DOWN, ResultCode.SERVICE_ERROR);

    private final RouterId self;
    private final RouterOptions options;
    private final InstantSource clock;
    private final RouterPort port;
    private final InvariantMonitor monitor;
    private final ServerTable servers;
    private final AgentLinks links;
    private final Balancer balancer;
    private final RetryBudget budget;
    private final LengthEstimator lengths = new LengthEstimator();
    private final Desk desk = new Desk();
    private final Doorkeeper doorkeeper = new Doorkeeper();
    private final ExchangeBook book = new ExchangeBook();
    private final FatalCalls fatalCalls = new FatalCalls();
    private final KeyClaims claims;
    private final AttemptWatch watch;
    private ClusterConfig config = ClusterConfig.EMPTY;
    private Instant lastJudged = Instant.MIN;
    private boolean stopping;

    private RouterCore(
            RouterId self,
            RouterOptions options,
            InstantSource clock,
            RandomGenerator random,
            RouterPort port,
            InvariantMonitor monitor) {
        this.self = self;
        this.options = options;
        this.clock = clock;
        this.port = port;
        this.monitor = monitor;
        this.servers = new ServerTable(self.name(), options.linksPerTarget());
        this.links = new AgentLinks(servers, port, options.heartbeat(), this::inUse, this::onLinkDown);
        this.claims = new KeyClaims(this, book, links, port, options, clock);
        this.watch = new AttemptWatch(this, claims, options);
        this.balancer = new Balancer(options.failureDomain(), random);
        this.budget = RetryBudget.of(
                options.retryRatio(),
                options.retrySlack(),
                options.retryWindow().toMillis());
    }

    /** Returns the decisions of one router run. */
    public static RouterCore create(
            RouterId self,
            RouterOptions options,
            InstantSource clock,
            RandomGenerator random,
            RouterPort port,
            InvariantMonitor monitor) {
        return new RouterCore(self, options, clock, random, port, monitor);
    }

    public RouterId self() {
        return self;
    }

    public ConfigRevision revision() {
        return config.revision();
    }

    public ClusterConfig config() {
        return config;
    }

    public int inProgress() {
        return book.size();
    }

    /** Returns the number of agents linked now. */
    public int links() {
        return (int) servers.all().stream().filter(ServerView::linked).count();
    }

    /** Returns the number of servers that are left alone for being slow. */
    public int ejected() {
        return (int) servers.all().stream()
                .filter(view -> view.machine().in(ServerState.EJECTED))
                .count();
    }

    /** Returns whether the router was told to stop. */
    public boolean stopping() {
        return stopping;
    }

    /** Returns whether the router was told to stop and has no request in progress. */
    public boolean drained() {
        return stopping && book.size() == 0;
    }

    // ---- callers

    /** A caller's request has come in. */
    public void onArrival(Arrival arrival) {
        switch (desk.resolve(arrival)) {
            case Desk.Resolution.Wrong wrong -> turnAway(arrival, wrong.refusal());
            case Desk.Resolution.Known known -> admit(arrival, known);
        }
    }

    private void admit(Arrival arrival, Desk.Resolution.Known known) {
        if (stopping) {
            turnAway(arrival, Refusal.notRun(ResultCode.ROUTER_STOPPING, COME_BACK, "this router is stopping"));
            return;
        }
        if (book.size() >= options.mostExchanges()) {
            turnAway(arrival, Refusal.notRun(ResultCode.QUEUE_FULL, COME_BACK, "this router is at its bound"));
            return;
        }
        Optional<Duration> held = held(arrival, known.workspace());
        if (held.isPresent()) {
            turnAway(arrival, heldRefusal(held.get()));
            return;
        }
        Optional<Duration> wait = doorkeeper.enter(known.workspace(), known.profile(), now());
        if (wait.isPresent()) {
            turnAway(
                    arrival,
                    Refusal.notRun(
                            ResultCode.RATE_LIMITED,
                            wait.get(),
                            "workspace '" + known.workspace().id() + "' is at its limit for profile '"
                                    + known.profile().name() + "'"));
            return;
        }
        long expected = arrival.kind() == ServerKind.SERVICE
                ? 1
                : lengths.expected(known.profile().name(), known.workspace().id());
        Exchange exchange = new Exchange(
                arrival,
                known.workspace(),
                known.profile(),
                known.target(),
                now(),
                expected,
                AttemptHistory.of(options.attemptTerms(known.profile().idempotent())));
        book.add(exchange);
        budget.request(known.profile().name().value(), now().toEpochMilli());
        choose(exchange);
    }

    /** Equal for the same call under another id. */
    private static RequestFingerprint fingerprint(Arrival arrival, Workspace workspace) {
        String path = arrival.call() instanceof Call.ServiceCall call ? call.method() + " " + call.path() : "";
        return RequestFingerprint.of(
                workspace.id().value(),
                arrival.kind().name(),
                arrival.target(),
                path,
                ByteBuffer.wrap(arrival.bodyDigest().getBytes(StandardCharsets.UTF_8)));
    }

    private static RequestFingerprint fingerprint(Exchange exchange) {
        return fingerprint(exchange.arrival(), exchange.workspace());
    }

    /** Returns for how long a call is to be sent no more; a fingerprint is only made where some call is suspected. */
    private Optional<Duration> held(Arrival arrival, Workspace workspace) {
        return fatalCalls.empty() ? Optional.empty() : fatalCalls.held(fingerprint(arrival, workspace), now());
    }

    private static Refusal heldRefusal(Duration wait) {
        return Refusal.notRun(ResultCode.REQUEST_HELD, wait, ResultCode.REQUEST_HELD.meaning());
    }

    /** Refuses a request that never became an exchange. */
    private void turnAway(Arrival arrival, Refusal refusal) {
        port.count("refused_" + refusal.code().label());
        port.refuse(arrival.id(), refusal);
    }

    /** A caller has hung up. */
    public void onCallerGone(RequestId request) {
        Exchange exchange = book.find(request);
        if (exchange != null) {
            letGo(exchange);
            end(exchange, Refusal.unknown(ResultCode.CALLER_GONE, "the caller hung up"));
        }
    }

    /** A caller has taken units of its answer. */
    public void onCallerTook(RequestId request, long units) {
        Exchange exchange = book.find(request);
        if (exchange == null || exchange.server() == null) {
            return;
        }
        long worth = exchange.arrival().kind() == ServerKind.MODEL ? MODEL_CREDIT_WORTH : SERVICE_CREDIT_WORTH;
        long due = exchange.creditDue(units, worth);
        if (due > 0) {
            port.send(exchange.server(), new Frame.Credit(exchange.attempt(), due));
        }
    }

    // ---- choosing an agent

    void choose(Exchange exchange) {
        Optional<Duration> held = held(exchange.arrival(), exchange.workspace());
        if (held.isPresent()) {
            refuse(exchange, partial(exchange, heldRefusal(held.get())));
            return;
        }
        List<ServerView> candidates = servers.accepting(exchange.arrival().kind(), exchange.target()).stream()
                .filter(view -> !exchange.tried().contains(view.server().id()))
                .toList();
        Optional<ServerView> chosen = switch (options.policy()) {
            case RouterOptions.Policy.LeastTime any -> balancer.leastTime(candidates, exchange, now());
            case RouterOptions.Policy.RoundRobin any -> balancer.nextInTurn(candidates);
        };
        if (chosen.isEmpty()) {
            refuse(exchange, partial(exchange, exchange.lastRefusal().orElseGet(() -> noServer(exchange))));
            return;
        }
        exchange.chosen(chosen.get().server().id(), chosen.get().incarnation());
        if (exchange.keyed()) {
            claims.ask(exchange);
        } else {
            exchange.nextGeneration();
            submit(exchange);
        }
    }

    private static Refusal noServer(Exchange exchange) {
        return Refusal.notRun(
                ResultCode.NO_SERVER, COME_BACK, "no backend server for '" + exchange.target() + "' is reachable");
    }

    void submit(Exchange exchange) {
        monitor.check(
                Promise.AT_MOST_ONCE,
                exchange.idempotent() || !exchange.fateOpen(),
                () -> exchange + " is sent again although an attempt's fate is unknown");
        ServerView view = servers.find(exchange.server()).orElseThrow();
        exchange.machine().fire(ExchangeEvent.SUBMIT);
        book.newAttempt(exchange, now());
        boolean resumes = exchange.idempotent() && exchange.deliveredUnits() > 0;
        long expected = exchange.expectedUnits();
        view.sent(expected + exchange.arrival().promptUnits() / PROMPT_TOKENS_PER_UNIT, now());
        port.send(
                exchange.server(),
                new Frame.Submit(
                        exchange.attempt(),
                        exchange.id(),
                        exchange.work(),
                        exchange.timeLeft(now()),
                        exchange.execution(),
                        resumes ? exchange.deliveredText() : "",
                        resumes ? exchange.deliveredUnits() : 0,
                        expected));
    }

    /** The platform's store has decided a claim, or did not answer. */
    public void onClaimDecided(long sequence, ClaimDecision decision) {
        claims.decided(sequence, decision);
    }

    // ---- links

    /** The connection to an agent is up. */
    public void onLinkUp(ServerId server, long incarnation) {
        Optional<ServerView> found = servers.find(server);
        if (found.isEmpty()) {
            return;
        }
        ServerView view = found.get();
        if (view.linked()) {
            onLinkDown(server);
        }
        view.reset();
        view.incarnation(incarnation);
        view.machine().fire(ServerEvent.LINK);
        view.lastUsed(now());
        port.send(server, new Frame.Heartbeat(config.revision()));
        book.all().stream()
                .filter(exchange -> exchange.in(ExchangeState.UNCERTAIN) && server.equals(exchange.server()))
                .forEach(claims::attach);
    }

    /** The connection to an agent is gone. */
    public void onLinkDown(ServerId server) {
        Optional<ServerView> found = servers.find(server).filter(ServerView::linked);
        if (found.isEmpty()) {
            return;
        }
        found.get().machine().fire(ServerEvent.UNLINK);
        found.get().reset();
        book.all().stream()
                .filter(exchange -> server.equals(exchange.server()))
                .forEach(exchange -> exchange.attached(false));
        List<Exchange> affected = book.all().stream()
                .filter(exchange -> server.equals(exchange.server()))
                .filter(exchange -> exchange.in(ExchangeState.SUBMITTED) || exchange.in(ExchangeState.RUNNING))
                .toList();
        affected.forEach(
                exchange -> lost(exchange, ResultCode.CONNECTION_LOST, "the connection to its agent was lost"));
    }

    /** An attempt is out of reach and may have run. */
    void lost(Exchange exchange, ResultCode code, String detail) {
        book.forgetAttempt(exchange);
        port.attemptFailed(exchange.id(), exchange.server(), code, RunState.UNKNOWN, detail);
        if (exchange.idempotent()) {
            recover(exchange, code, detail);
        } else {
            port.count("doubt_" + code.label());
            exchange.machine().fire(ExchangeEvent.DOUBT);
            exchange.waitingSince(now());
        }
    }

    /** Tries an idempotent request again, from where its answer broke off, if budget and time allow. */
    private void recover(Exchange exchange, ResultCode code, String detail) {
        boolean naive = options.policy() instanceof RouterOptions.Policy.RoundRobin;
        boolean service = exchange.arrival().kind() == ServerKind.SERVICE;
        boolean unfit = service && exchange.anythingDelivered();
        exchange.tried().add(exchange.server());
        exchange.attemptLost();
        if (naive || unfit || !mayRepeat(exchange, true)) {
            refuse(exchange, Refusal.unknown(code, detail));
        } else if (!takeRetry(exchange)) {
            port.count("retry_refused_" + ResultCode.RETRY_BUDGET_SPENT.label());
            refuse(exchange, new Refusal(ResultCode.RETRY_BUDGET_SPENT, RunState.UNKNOWN, COME_BACK, detail));
        } else {
            port.count("retry_" + code.label());
            exchange.machine().fire(ExchangeEvent.LOSE);
            choose(exchange);
        }
    }

    // ---- messages

    /** An agent has sent a message. */
    public void onFrame(ServerId server, Frame.FromAgent frame) {
        Optional<ServerView> found = servers.find(server).filter(ServerView::linked);
        if (found.isEmpty()) {
            return;
        }
        ServerView view = found.get();
        switch (frame) {
            case Frame.Queued queued -> attemptOf(queued.attempt(), server).ifPresent(this::queuedAfterAll);
            case Frame.Started started -> attemptOf(started.attempt(), server).ifPresent(this::started);
            case Frame.Head head -> attemptOf(head.attempt(), server).ifPresent(exchange -> onHead(exchange, head));
            case Frame.Chunk chunk ->
                attemptOf(chunk.attempt(), server).ifPresent(exchange -> onChunk(exchange, chunk));
            case Frame.Done done -> {
                reported(view, done.load());
                attemptOf(done.attempt(), server).ifPresent(exchange -> onDone(exchange, done));
            }
            case Frame.NotRun notRun -> {
                reported(view, notRun.load());
                attemptOf(notRun.attempt(), server).ifPresent(exchange -> onNotRun(exchange, notRun));
            }
            case Frame.Failed failed -> {
                reported(view, failed.load());
                attemptOf(failed.attempt(), server).ifPresent(exchange -> onFailed(exchange, failed));
            }
            case Frame.LoadReport report -> reported(view, report.load());
            case Frame.Heartbeat heartbeat -> {
                if (config.revision().behind(heartbeat.revision())) {
                    port.send(server, new Frame.ConfigPull());
                }
            }
            case Frame.ConfigPull pull -> port.send(server, new Frame.ConfigPush(config));
            case Frame.ConfigPush push -> applyConfig(push.config());
        }
    }

    private Optional<Exchange> attemptOf(long attempt, ServerId server) {
        Optional<Exchange> found = book.ofAttempt(attempt, server);
        if (found.isEmpty()) {
            port.count("late_message");
        }
        return found;
    }

    private void reported(ServerView view, Load load) {
        view.reported(load, now());
        noteIfDown(view);
    }

    /** A server that takes no work right after it failed runs has ended under them. */
    private void noteIfDown(ServerView view) {
        if (!view.load().accepting() && fatalCalls.down(view.server().id(), now()) > 0) {
            port.count("request_held");
        }
    }

    /**
     * Compares each server with its peers.
     *
     * <p>Done at intervals and not at each report: a comparison reads all peers, and with hundreds of links a report each
     * would make the cost grow with the square of their number.
     */
    private void judgeServers(Instant now) {
        if (!lastJudged.equals(Instant.MIN) && lastJudged.plus(JUDGE_EVERY).isAfter(now)) {
            return;
        }
        lastJudged = now;
        for (Collection<ServerView> peers : servers.groups()) {
            balancer.judge(peers, () -> port.count("server_ejected"), () -> port.count("server_returned"));
        }
    }

    private void queuedAfterAll(Exchange exchange) {
        if (exchange.in(ExchangeState.UNCERTAIN)) {
            exchange.machine().fire(ExchangeEvent.SUBMIT);
        }
    }

    private void started(Exchange exchange) {
        if (exchange.in(ExchangeState.UNCERTAIN)) {
            exchange.machine().fire(ExchangeEvent.SUBMIT);
        }
        exchange.machine().tryFire(ExchangeEvent.START);
        exchange.progressed(now());
    }

    private void onHead(Exchange exchange, Frame.Head head) {
        started(exchange);
        if (!exchange.headSent()) {
            exchange.headSent(now());
            port.head(exchange.id(), head.status(), head.contentType());
        }
    }

    private void onChunk(Exchange exchange, Frame.Chunk chunk) {
        started(exchange);
        long have = exchange.deliveredUnits();
        if (chunk.offset() + chunk.units() <= have) {
            port.send(exchange.server(), new Frame.Credit(exchange.attempt(), chunk.units()));
            return;
        }
        if (chunk.offset() != have) {
            port.send(exchange.server(), new Frame.Cancel(exchange.attempt(), exchange.keyed()));
            broken(exchange, "a piece at " + chunk.offset() + " came when " + have + " was due");
            return;
        }
        exchange.delivered(chunk.units(), chunk.data(), now());
        port.chunk(exchange.id(), chunk.units(), chunk.data());
    }

    private void broken(Exchange exchange, String detail) {
        book.forgetAttempt(exchange);
        port.attemptFailed(exchange.id(), exchange.server(), ResultCode.ANSWER_CUT, RunState.UNKNOWN, detail);
        if (exchange.idempotent()) {
            recover(exchange, ResultCode.ANSWER_CUT, detail);
        } else {
            refuse(exchange, Refusal.unknown(ResultCode.ANSWER_CUT, detail));
        }
    }

    private void onDone(Exchange exchange, Frame.Done done) {
        started(exchange);
        if (done.totalUnits() != exchange.deliveredUnits()) {
            broken(exchange, done.totalUnits() + " units were produced, " + exchange.deliveredUnits() + " came");
            return;
        }
        monitor.held(Promise.WHOLE_ANSWER);
        if (!fatalCalls.empty()) {
            fatalCalls.served(fingerprint(exchange), now());
        }
        exchange.machine().fire(ExchangeEvent.FINISH);
        book.remove(exchange);
        doorkeeper.leave(exchange.workspace(), exchange.profile());
        if (exchange.arrival().kind() == ServerKind.MODEL) {
            lengths.observed(exchange.profile().name(), exchange.workspace().id(), done.totalUnits());
        }
        port.complete(exchange.id(), done.finishReason(), done.totalUnits());
        port.ended(outcome(exchange, ResultCode.OK, RunState.COMPLETE));
    }

    private void onNotRun(Exchange exchange, Frame.NotRun notRun) {
        book.forgetAttempt(exchange);
        Refusal refusal =
                Refusal.notRun(notRun.code(), notRun.retryAfter(), notRun.code().meaning());
        port.attemptFailed(exchange.id(), exchange.server(), notRun.code(), RunState.NOT_RUN, refusal.detail());
        if (exchange.in(ExchangeState.UNCERTAIN)) {
            settledAsNotRun(exchange, refusal);
            return;
        }
        boolean costsBudget = !FREE_RETURNS.contains(notRun.code());
        exchange.returned(refusal);
        exchange.machine().fire(ExchangeEvent.RETURN);
        boolean naive = options.policy() instanceof RouterOptions.Policy.RoundRobin;
        if (naive || !mayRepeat(exchange, false)) {
            refuse(exchange, partial(exchange, refusal));
        } else if (costsBudget && !takeRetry(exchange)) {
            port.count("retry_refused_" + ResultCode.RETRY_BUDGET_SPENT.label());
            refuse(exchange, partial(exchange, refusal));
        } else {
            port.count("retry_" + notRun.code().label());
            choose(exchange);
        }
    }

    private boolean mayRepeat(Exchange exchange, boolean newestMayHaveRun) {
        return exchange.history()
                .mayRepeat(newestMayHaveRun, exchange.timeLeft(now()).toMillis());
    }

    /** Takes one retry from the budget of the request's class. */
    private boolean takeRetry(Exchange exchange) {
        return budget.take(exchange.profile().name().value(), now().toEpochMilli());
    }

    /** An attempt that resumes an answer did not run, but earlier ones did. */
    private static Refusal partial(Exchange exchange, Refusal refusal) {
        return exchange.mayHaveRun()
                ? new Refusal(refusal.code(), RunState.UNKNOWN, refusal.retryAfter(), refusal.detail())
                : refusal;
    }

    /** The agent that was in doubt says that the request never began there: it may go elsewhere. */
    private void settledAsNotRun(Exchange exchange, Refusal refusal) {
        exchange.settledAsNotRun();
        exchange.machine().fire(ExchangeEvent.SUBMIT);
        exchange.machine().fire(ExchangeEvent.RETURN);
        if (!mayRepeat(exchange, false)) {
            refuse(exchange, refusal);
        } else {
            port.count("retry_settled_not_run");
            choose(exchange);
        }
    }

    private void onFailed(Exchange exchange, Frame.Failed failed) {
        book.forgetAttempt(exchange);
        fatalCalls.failed(exchange.server(), fingerprint(exchange), now());
        servers.find(exchange.server()).ifPresent(this::noteIfDown);
        port.attemptFailed(exchange.id(), exchange.server(), failed.code(), RunState.UNKNOWN, failed.detail());
        if (exchange.idempotent()) {
            recover(exchange, failed.code(), failed.detail());
        } else {
            refuse(exchange, Refusal.unknown(failed.code(), failed.detail()));
        }
    }

    // ---- ends

    void refuse(Exchange exchange, Refusal refusal) {
        monitor.check(
                Promise.NOT_RUN_IS_TRUE,
                refusal.run() != RunState.NOT_RUN || provablyNotRun(exchange),
                () -> exchange + " is reported as not run");
        port.refuse(exchange.id(), refusal);
        end(exchange, refusal);
    }

    private static boolean provablyNotRun(Exchange exchange) {
        boolean nothingOut = exchange.in(ExchangeState.CHOOSING) || exchange.in(ExchangeState.CLAIMING);
        return nothingOut && !exchange.mayHaveRun();
    }

    private void end(Exchange exchange, Refusal refusal) {
        book.remove(exchange);
        doorkeeper.leave(exchange.workspace(), exchange.profile());
        if (!exchange.anythingDelivered() || !exchange.machine().tryFire(ExchangeEvent.CUT)) {
            exchange.machine().fire(ExchangeEvent.REFUSE);
        }
        if (refusal.run() == RunState.NOT_RUN) {
            exchange.claim().ifPresent(port::release);
        }
        port.count("refused_" + refusal.code().label());
        port.ended(outcome(exchange, refusal.code(), refusal.run()));
    }

    /** Tells the agent that nobody waits; a keyed request runs on, so that a repeat of the key finds its result. */
    void letGo(Exchange exchange) {
        boolean out = exchange.in(ExchangeState.SUBMITTED) || exchange.in(ExchangeState.RUNNING);
        if (out && links.isLinked(exchange.server())) {
            port.send(exchange.server(), new Frame.Cancel(exchange.attempt(), exchange.keyed()));
        }
    }

    private Outcome outcome(Exchange exchange, ResultCode code, RunState run) {
        Duration first = exchange.firstOutput()
                .map(at -> Duration.between(exchange.arrived(), at))
                .orElse(Duration.ZERO);
        return new Outcome(
                exchange.id(),
                exchange.workspace().id(),
                exchange.profile().name(),
                code,
                run,
                first,
                Duration.between(exchange.arrived(), now()),
                exchange.deliveredUnits(),
                exchange.attempts());
    }

    // ---- configuration, time, stop

    /** A configuration was offered, by the platform's service or a peer; older documents are ignored. */
    public void applyConfig(ClusterConfig offered) {
        ClusterConfig merged = config.merge(offered);
        ConfigRevision before = config.revision();
        if (!before.behind(merged.revision())) {
            return;
        }
        monitor.check(
                Promise.CONFIG_FORWARD,
                !merged.revision().behind(before),
                () -> "revision went from " + before + " to " + merged.revision());
        boolean serversChanged = merged.servers().revision() > before.servers();
        config = merged;
        desk.config(config);
        port.applied(config);
        links.config(config, serversChanged);
        links.tellRevision();
    }

    private boolean inUse(ServerId id) {
        return book.all().stream().anyMatch(exchange -> id.equals(exchange.server()));
    }

    /** Begins a planned stop: no new requests, those in progress are finished. */
    public void beginStop() {
        stopping = true;
    }

    /** Time has passed; called several times a second. */
    public void onTick() {
        Instant now = now();
        for (Exchange exchange : book.all()) {
            if (book.holds(exchange)) {
                watch.watch(exchange, now);
            }
        }
        judgeServers(now);
        links.tick(now);
        fatalCalls.trim(now);
    }

    private Instant now() {
        return clock.instant();
    }
}
