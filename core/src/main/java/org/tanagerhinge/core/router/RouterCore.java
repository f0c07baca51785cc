package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.tanagerhinge.core.attempt.AttemptHistory;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.invariant.Promise;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Execution;
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
    private static final Duration ASK_AGAIN = Duration.ofMillis(200);
    private static final Duration COME_BACK = Duration.ofSeconds(1);
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
    private final Map<RequestId, Exchange> exchanges = new LinkedHashMap<>();
    private final Map<Long, Exchange> byAttempt = new HashMap<>();
    private final Map<Long, Exchange> byClaim = new HashMap<>();
    private ClusterConfig config = ClusterConfig.EMPTY;
    private long nextNumber = 1;
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
        return exchanges.size();
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
        return stopping && exchanges.isEmpty();
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
        if (exchanges.size() >= options.mostExchanges()) {
            turnAway(arrival, Refusal.notRun(ResultCode.QUEUE_FULL, COME_BACK, "this router is at its bound"));
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
        exchanges.put(arrival.id(), exchange);
        budget.request(known.profile().name().value(), now().toEpochMilli());
        choose(exchange);
    }

    /** Refuses a request that never became an exchange. */
    private void turnAway(Arrival arrival, Refusal refusal) {
        port.count("refused_" + refusal.code().label());
        port.refuse(arrival.id(), refusal);
    }

    /** A caller has hung up. */
    public void onCallerGone(RequestId request) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null) {
            letGo(exchange);
            end(exchange, Refusal.unknown(ResultCode.CALLER_GONE, "the caller hung up"));
        }
    }

    /** A caller has taken units of its answer. */
    public void onCallerTook(RequestId request, long units) {
        Exchange exchange = exchanges.get(request);
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

    private void choose(Exchange exchange) {
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
            askForClaim(exchange);
        } else {
            exchange.nextGeneration();
            submit(exchange);
        }
    }

    private static Refusal noServer(Exchange exchange) {
        return Refusal.notRun(
                ResultCode.NO_SERVER, COME_BACK, "no backend server for '" + exchange.target() + "' is reachable");
    }

    private void submit(Exchange exchange) {
        monitor.check(
                Promise.AT_MOST_ONCE,
                exchange.idempotent() || !exchange.fateOpen(),
                () -> exchange + " is sent again although an attempt's fate is unknown");
        ServerView view = servers.find(exchange.server()).orElseThrow();
        exchange.machine().fire(ExchangeEvent.SUBMIT);
        newAttempt(exchange);
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

    private void newAttempt(Exchange exchange) {
        byAttempt.remove(exchange.attempt());
        exchange.attemptMade(nextNumber++, now());
        byAttempt.put(exchange.attempt(), exchange);
    }

    // ---- claims of keys

    private void askForClaim(Exchange exchange) {
        exchange.machine().fire(ExchangeEvent.CLAIM);
        Instant since = exchange.waitingSince(now());
        if (!since.plus(options.claimPatience()).isAfter(now())) {
            refuse(
                    exchange,
                    Refusal.notRun(
                            ResultCode.CLAIMS_UNSETTLED,
                            COME_BACK,
                            "whether the key was used before cannot be told yet; this call ran nothing"));
            return;
        }
        exchange.lastAsked(now());
        byClaim.remove(exchange.claimSequence());
        exchange.claimSequence(nextNumber++);
        byClaim.put(exchange.claimSequence(), exchange);
        ClaimEntry wanted = ClaimEntry.wanted(
                exchange.digest(),
                exchange.arrival().bodyDigest(),
                exchange.server(),
                exchange.serverIncarnation(),
                exchange.id());
        port.claim(exchange.claimSequence(), wanted, exchange.expectedGeneration());
    }

    /** The platform's store has decided a claim, or did not answer. */
    public void onClaimDecided(long sequence, ClaimDecision decision) {
        Exchange exchange = byClaim.get(sequence);
        if (exchange == null || !exchange.in(ExchangeState.CLAIMING)) {
            return;
        }
        switch (decision) {
            case ClaimDecision.Granted granted -> granted(exchange, granted.entry());
            case ClaimDecision.Held held -> follow(exchange, held.entry());
            case ClaimDecision.Unsettled unsettled -> port.count("claim_unsettled");
        }
    }

    private void granted(Exchange exchange, ClaimEntry entry) {
        byClaim.remove(exchange.claimSequence());
        exchange.claim(entry);
        exchange.followed(null);
        if (links.isLinked(exchange.server())) {
            submit(exchange);
        } else {
            exchange.machine().fire(ExchangeEvent.RETURN);
            choose(exchange);
        }
    }

    /** Another call holds the key: whatever became of it is this caller's answer too. */
    private void follow(Exchange exchange, ClaimEntry entry) {
        byClaim.remove(exchange.claimSequence());
        if (!entry.body().equals(exchange.arrival().bodyDigest())) {
            refuse(exchange, Refusal.notRun(ResultCode.KEY_REUSED, "the key was used before with another body"));
            return;
        }
        port.count("claim_followed");
        exchange.followed(entry);
        exchange.claim(null);
        exchange.attached(false);
        exchange.chosen(entry.executor(), entry.executorIncarnation());
        exchange.machine().fire(ExchangeEvent.DOUBT);
        attach(exchange);
    }

    /** Asks the agent that was given a non-idempotent request what became of it. */
    private void attach(Exchange exchange) {
        exchange.waitingSince(now());
        exchange.lastAsked(now());
        links.demand(exchange.server(), now());
        if (exchange.attached() || !links.isLinked(exchange.server())) {
            return;
        }
        Execution execution = exchange.followed()
                .map(ClaimEntry::execution)
                .orElseGet(() -> exchange.execution().orElseThrow());
        Instant since = exchange.waitingSince(now());
        newAttempt(exchange);
        exchange.keepWaiting(since);
        exchange.attached(true);
        port.send(exchange.server(), new Frame.Attach(exchange.attempt(), execution, exchange.serverIncarnation()));
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
        List.copyOf(exchanges.values()).stream()
                .filter(exchange -> exchange.in(ExchangeState.UNCERTAIN) && server.equals(exchange.server()))
                .forEach(this::attach);
    }

    /** The connection to an agent is gone. */
    public void onLinkDown(ServerId server) {
        Optional<ServerView> found = servers.find(server).filter(ServerView::linked);
        if (found.isEmpty()) {
            return;
        }
        found.get().machine().fire(ServerEvent.UNLINK);
        found.get().reset();
        exchanges.values().stream()
                .filter(exchange -> server.equals(exchange.server()))
                .forEach(exchange -> exchange.attached(false));
        List<Exchange> affected = exchanges.values().stream()
                .filter(exchange -> server.equals(exchange.server()))
                .filter(exchange -> exchange.in(ExchangeState.SUBMITTED) || exchange.in(ExchangeState.RUNNING))
                .toList();
        affected.forEach(
                exchange -> lost(exchange, ResultCode.CONNECTION_LOST, "the connection to its agent was lost"));
    }

    /** An attempt is out of reach and may have run. */
    private void lost(Exchange exchange, ResultCode code, String detail) {
        byAttempt.remove(exchange.attempt());
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
        Exchange exchange = byAttempt.get(attempt);
        if (exchange == null || !server.equals(exchange.server())) {
            port.count("late_message");
            return Optional.empty();
        }
        return Optional.of(exchange);
    }

    private void reported(ServerView view, Load load) {
        view.reported(load, now());
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
        byAttempt.remove(exchange.attempt());
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
        byAttempt.remove(exchange.attempt());
        exchange.machine().fire(ExchangeEvent.FINISH);
        exchanges.remove(exchange.id());
        byClaim.remove(exchange.claimSequence());
        doorkeeper.leave(exchange.workspace(), exchange.profile());
        if (exchange.arrival().kind() == ServerKind.MODEL) {
            lengths.observed(exchange.profile().name(), exchange.workspace().id(), done.totalUnits());
        }
        port.complete(exchange.id(), done.finishReason(), done.totalUnits());
        port.ended(outcome(exchange, ResultCode.OK, RunState.COMPLETE));
    }

    private void onNotRun(Exchange exchange, Frame.NotRun notRun) {
        byAttempt.remove(exchange.attempt());
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
        byAttempt.remove(exchange.attempt());
        port.attemptFailed(exchange.id(), exchange.server(), failed.code(), RunState.UNKNOWN, failed.detail());
        if (exchange.idempotent()) {
            recover(exchange, failed.code(), failed.detail());
        } else {
            refuse(exchange, Refusal.unknown(failed.code(), failed.detail()));
        }
    }

    // ---- ends

    private void refuse(Exchange exchange, Refusal refusal) {
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
        byAttempt.remove(exchange.attempt());
        byClaim.remove(exchange.claimSequence());
        exchanges.remove(exchange.id());
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
    private void letGo(Exchange exchange) {
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
        return exchanges.values().stream().anyMatch(exchange -> id.equals(exchange.server()));
    }

    /** Begins a planned stop: no new requests, those in progress are finished. */
    public void beginStop() {
        stopping = true;
    }

    /** Time has passed; called several times a second. */
    public void onTick() {
        Instant now = now();
        for (Exchange exchange : List.copyOf(exchanges.values())) {
            if (exchanges.containsKey(exchange.id())) {
                watch(exchange, now);
            }
        }
        judgeServers(now);
        links.tick(now);
    }

    private void watch(Exchange exchange, Instant now) {
        Duration timeLeft = exchange.timeLeft(now);
        boolean overdue = timeLeft.plus(options.verdictGrace()).isNegative();
        switch (exchange.machine().state()) {
            case CLAIMING -> {
                if (timeLeft.isNegative()) {
                    refuse(
                            exchange,
                            Refusal.notRun(ResultCode.CLAIMS_UNSETTLED, COME_BACK, "the store did not decide in time"));
                } else if (exchange.lastAsked().plus(ASK_AGAIN).isBefore(now)) {
                    askForClaim(exchange);
                }
            }
            case UNCERTAIN -> watchDoubt(exchange, now, overdue);
            case SUBMITTED, RUNNING -> {
                if (overdue) {
                    letGo(exchange);
                    refuse(exchange, Refusal.unknown(ResultCode.ANSWER_TOO_LATE, "its deadline has passed"));
                } else {
                    watchStall(exchange, now);
                }
            }
            default -> {}
        }
    }

    private void watchDoubt(Exchange exchange, Instant now, boolean overdue) {
        Instant since = exchange.waitingSince(now);
        if (overdue || since.plus(options.doubtPatience()).isBefore(now)) {
            refuse(
                    exchange,
                    Refusal.unknown(
                            exchange.followed().isPresent() ? ResultCode.OUTCOME_UNKNOWN : ResultCode.CONNECTION_LOST,
                            "its agent is out of reach"));
        } else if (exchange.lastAsked().plus(ASK_AGAIN.multipliedBy(5)).isBefore(now)) {
            attach(exchange);
        }
    }

    private void watchStall(Exchange exchange, Instant now) {
        boolean naive = options.policy() instanceof RouterOptions.Policy.RoundRobin;
        if (naive || !exchange.idempotent() || !exchange.in(ExchangeState.RUNNING)) {
            return;
        }
        Duration patience = exchange.deliveredUnits() > 0 ? options.stallTimeout() : options.firstOutputTimeout();
        if (exchange.lastProgress().plus(patience).isBefore(now)) {
            letGo(exchange);
            lost(exchange, ResultCode.STALLED, "its backend server stopped producing");
        }
    }

    private Instant now() {
        return clock.instant();
    }
}
