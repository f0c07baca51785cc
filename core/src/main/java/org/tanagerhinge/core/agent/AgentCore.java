package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.ServerMark;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.invariant.Promise;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.Load;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Decides everything an agent does, on one thread.
 *
 * <p>Every method is an event; what follows from it goes out through the {@link AgentPort}. The same code runs in the
 * daemon, in the random runs and in the benchmark.
 */
public final class AgentCore {
    /** Stands in a run's output until it is addressed to the attempt of a subscriber. */
    private static final int NO_ATTEMPT = 0;

    private final ServerId self;
    private final long incarnation;
    private final AgentOptions options;
    private final InstantSource clock;
    private final AgentPort port;
    private final InvariantMonitor monitor;
    private final ClassQueue queue;
    private final ConcurrencyLimit limit;
    private final RateMeter meter = new RateMeter();
    private final ExecutionTable executions;
    private final Map<Long, Run> running = new HashMap<>();
    private final RouterLinks links;
    private final FlowControl flow;
    private ClusterConfig config = ClusterConfig.EMPTY;
    private long nextRunId = 1;
    private boolean stopping;
    private final BackendHealth health = new BackendHealth();

    private AgentCore(
            ServerId self,
            long incarnation,
            AgentOptions options,
            InstantSource clock,
            AgentPort port,
            InvariantMonitor monitor) {
        this.self = self;
        this.incarnation = incarnation;
        this.options = options;
        this.clock = clock;
        this.port = port;
        this.monitor = monitor;
        this.queue = new ClassQueue(options.queueBound(), options.queueBytes(), monitor);
        this.limit = ConcurrencyLimit.of(options.concurrency());
        this.executions = new ExecutionTable(options, monitor);
        this.links = new RouterLinks(port, clock);
        this.flow = new FlowControl(port, options.creditUnits());
    }

    /**
     * Returns the decisions of one agent run.
     *
     * @param incarnation tells this run of the agent from earlier and later ones
     */
    public static AgentCore create(
            ServerId self,
            long incarnation,
            AgentOptions options,
            InstantSource clock,
            AgentPort port,
            InvariantMonitor monitor) {
        return new AgentCore(self, incarnation, options, clock, port, monitor);
    }

    public ServerId self() {
        return self;
    }

    public long incarnation() {
        return incarnation;
    }

    public ConfigRevision revision() {
        return config.revision();
    }

    public ClusterConfig config() {
        return config;
    }

    public int queued() {
        return queue.size();
    }

    public int inFlight() {
        return running.size();
    }

    public int limit() {
        return limit.limit();
    }

    /** Returns the number of routers linked now. */
    public int routers() {
        return links.count();
    }

    /** Returns whether the agent was told to stop and nothing is left in its hands. */
    public boolean drained() {
        return stopping && running.isEmpty() && queue.isEmpty();
    }

    // ---- links

    /** A router has connected. */
    public void onRouterUp(RouterId router) {
        links.namesakes(router).forEach(this::onRouterDown);
        links.connect(router);
        greet(router);
    }

    /**
     * A router's connection is gone.
     *
     * <p>Nobody can be given what it waited for. Queued runs leave, idempotent ones are aborted; a non-idempotent one
     * that has begun goes on, and its result is held for whoever asks with the same key.
     */
    public void onRouterDown(RouterId router) {
        if (!links.connected(router)) {
            return;
        }
        for (Run run : links.disconnect(router)) {
            run.subscribers().removeIf(subscriber -> subscriber.router().equals(router));
            if (run.subscribers().isEmpty()) {
                abandon(run);
            } else {
                flow.adjust(run);
            }
        }
        dispatch();
    }

    private void abandon(Run run) {
        if (queue.remove(run)) {
            run.machine().fire(RunEvent.CANCEL);
            run.execution().ifPresent(execution -> executions.close(execution, now()));
        } else if (run.machine().in(RunState.RUNNING)) {
            if (run.execution().isPresent()) {
                flow.resume(run);
            } else {
                abort(run, ResultCode.CALLER_GONE, "nobody waits for it");
            }
        }
    }

    // ---- messages

    /** A router has sent a message. */
    public void onFrame(RouterId router, Frame.FromRouter frame) {
        if (!links.connected(router)) {
            return;
        }
        switch (frame) {
            case Frame.Submit submit -> onSubmit(router, submit);
            case Frame.Attach attach -> onAttach(router, attach);
            case Frame.Cancel cancel -> onCancel(router, cancel.attempt(), cancel.runOn());
            case Frame.Credit credit -> onCredit(router, credit);
            case Frame.Heartbeat heartbeat -> onPeerRevision(router, heartbeat.revision());
            case Frame.ConfigPull pull -> send(router, new Frame.ConfigPush(config));
            case Frame.ConfigPush push -> applyConfig(push.config());
        }
    }

    private void onPeerRevision(RouterId router, ConfigRevision peer) {
        if (config.revision().behind(peer)) {
            send(router, new Frame.ConfigPull());
        }
    }

    private void onSubmit(RouterId router, Frame.Submit submit) {
        if (links.run(router, submit.attempt()).isPresent()) {
            return;
        }
        if (submit.execution().isPresent()
                && answeredFromRecord(
                        router, submit.attempt(), submit.execution().get())) {
            return;
        }
        if (!accepting()) {
            ResultCode code = open() ? ResultCode.SERVER_DOWN : ResultCode.SERVER_LEAVING;
            closeAndRefuse(router, submit, code, Duration.ZERO);
            return;
        }
        Run run = new Run(nextRunId++, submit, now());
        switch (queue.offer(run, now(), pace())) {
            case ClassQueue.Offer.Refused refused ->
                closeAndRefuse(router, submit, refused.code(), refused.retryAfter());
            case ClassQueue.Offer.Queued queued -> {
                queued.evicted().forEach(victim -> shed(victim, ResultCode.EVICTED));
                run.subscribers().add(new Subscriber(router, submit.attempt()));
                links.attach(router, submit.attempt(), run);
                run.execution().ifPresent(_ -> executions.queued(run, now()));
                dispatch();
            }
        }
    }

    private void closeAndRefuse(RouterId router, Frame.Submit submit, ResultCode code, Duration retryAfter) {
        submit.execution().ifPresent(execution -> executions.close(execution, now()));
        refuse(router, submit.attempt(), code, retryAfter);
    }

    private void refuse(RouterId router, long attempt, ResultCode code, Duration retryAfter) {
        port.count("refused_" + code.label());
        send(router, new Frame.NotRun(attempt, code, retryAfter, load()));
    }

    /** Answers from what is remembered of an execution; returns false if it never came here. */
    private boolean answeredFromRecord(RouterId router, long attempt, Execution execution) {
        switch (executions.lookup(execution)) {
            case ExecutionTable.Known.Never never -> {
                return false;
            }
            case ExecutionTable.Known.Live live -> join(router, attempt, live.run());
            case ExecutionTable.Known.Whole whole ->
                whole.answer().forEach(frame -> send(router, readdress(frame, attempt)));
            case ExecutionTable.Known.Lost lost ->
                send(router, new Frame.Failed(attempt, lost.code(), lost.detail(), load()));
            case ExecutionTable.Known.Closed closed -> refuse(router, attempt, ResultCode.EVICTED, Duration.ZERO);
        }
        return true;
    }

    private void join(RouterId router, long attempt, Run run) {
        Subscriber subscriber = new Subscriber(router, attempt);
        run.subscribers().add(subscriber);
        links.attach(router, attempt, run);
        if (run.machine().in(RunState.RUNNING)) {
            send(router, new Frame.Started(attempt));
        } else {
            send(router, new Frame.Queued(attempt));
        }
        for (Frame.FromAgent frame : executions.outputSoFar(run)) {
            if (frame instanceof Frame.Chunk chunk) {
                subscriber.sent(chunk.units());
            }
            send(router, readdress(frame, attempt));
        }
        flow.adjust(run);
    }

    private Frame.FromAgent readdress(Frame.FromAgent frame, long attempt) {
        return switch (frame) {
            case Frame.Head head -> new Frame.Head(attempt, head.status(), head.contentType());
            case Frame.Chunk chunk -> new Frame.Chunk(attempt, chunk.offset(), chunk.units(), chunk.data());
            case Frame.Done done -> new Frame.Done(attempt, done.totalUnits(), done.finishReason(), load());
            default -> frame;
        };
    }

    /**
     * Answers a router that lost its connection while an execution was here, or another router whose caller repeated
     * the key.
     */
    private void onAttach(RouterId router, Frame.Attach attach) {
        if (attach.incarnation() != incarnation) {
            send(
                    router,
                    new Frame.Failed(
                            attach.attempt(),
                            ResultCode.OUTCOME_UNKNOWN,
                            "the agent that was given the request is gone",
                            load()));
            return;
        }
        if (answeredFromRecord(router, attach.attempt(), attach.execution())) {
            return;
        }
        if (executions.full()) {
            send(
                    router,
                    new Frame.Failed(
                            attach.attempt(), ResultCode.OUTCOME_UNKNOWN, "the record may have been dropped", load()));
            return;
        }
        executions.close(attach.execution(), now());
        refuse(router, attach.attempt(), ResultCode.EVICTED, Duration.ZERO);
    }

    private void onCancel(RouterId router, long attempt, boolean runOn) {
        Optional<Run> found = links.detach(router, attempt);
        if (found.isEmpty()) {
            return;
        }
        Run run = found.get();
        run.subscribers().removeIf(subscriber -> subscriber.router().equals(router) && subscriber.attempt() == attempt);
        if (run.subscribers().isEmpty() && runOn && run.execution().isPresent()) {
            flow.resume(run);
        } else if (run.subscribers().isEmpty()) {
            if (run.machine().in(RunState.RUNNING)) {
                abort(run, ResultCode.CALLER_GONE, "its caller hung up");
            } else {
                abandon(run);
                refuse(router, attempt, ResultCode.CALLER_GONE, Duration.ZERO);
            }
            dispatch();
        } else {
            flow.adjust(run);
        }
    }

    private void onCredit(RouterId router, Frame.Credit credit) {
        Optional<Run> found = links.run(router, credit.attempt());
        if (found.isEmpty()) {
            return;
        }
        Run run = found.get();
        for (Subscriber subscriber : run.subscribers()) {
            if (subscriber.router().equals(router) && subscriber.attempt() == credit.attempt()) {
                subscriber.credited(credit.units());
            }
        }
        flow.adjust(run);
    }

    // ---- the backend server

    /** The backend server has answered a plain call's head. */
    public void onHead(long runId, int status, String contentType) {
        Run run = running.get(runId);
        if (run != null) {
            emit(run, new Frame.Head(NO_ATTEMPT, status, contentType));
        }
    }

    /** The backend server has produced a piece of an answer. */
    public void onOutput(long runId, long units, byte[] data) {
        Run run = running.get(runId);
        if (run == null) {
            return;
        }
        health.answered();
        long offset = run.producedUnits();
        if (!run.isService()) {
            meter.produced(units);
            limit.produced(units);
        }
        if (!run.streaming()) {
            meter.firstOutput(Duration.between(run.dispatched(), now()));
        }
        run.progress(units, now()).ifPresent(gap -> {
            if (!run.isService() && !run.paused()) {
                limit.gap(gap.dividedBy(Math.max(1, units)));
                meter.gap(gap, units);
            }
        });
        emit(run, new Frame.Chunk(NO_ATTEMPT, offset, units, data));
        flow.adjust(run);
    }

    /** The backend server has ended an answer as a whole one. */
    public void onFinished(long runId, String finishReason) {
        Run run = running.remove(runId);
        if (run == null) {
            return;
        }
        if (run.isService()) {
            meter.produced(1);
            limit.produced(1);
            meter.gap(Duration.between(run.dispatched(), now()), 1);
        }
        run.machine().fire(RunEvent.FINISH);
        Frame.Done done = new Frame.Done(NO_ATTEMPT, run.producedUnits(), finishReason, load());
        run.subscribers().forEach(subscriber -> send(subscriber.router(), readdress(done, subscriber.attempt())));
        run.execution().ifPresent(_ -> executions.whole(run, done));
        links.forget(run);
        dispatch();
    }

    /**
     * The backend server has failed a run.
     *
     * @param began false if it provably never got the request
     */
    public void onFailed(long runId, boolean began, ResultCode code, String detail) {
        Run run = running.remove(runId);
        if (run == null) {
            return;
        }
        run.machine().fire(RunEvent.FAIL);
        boolean justDown = health.failed(began);
        if (began) {
            fail(run, code, detail);
        } else {
            run.execution().ifPresent(execution -> executions.close(execution, now()));
            run.subscribers()
                    .forEach(subscriber -> refuse(subscriber.router(), subscriber.attempt(), code, Duration.ZERO));
            links.forget(run);
        }
        if (justDown) {
            noteDown();
        }
        dispatch();
    }

    private void noteDown() {
        port.count("backend_down");
        giveBackQueue(ResultCode.SERVER_DOWN);
        reportLoad();
    }

    /** The backend server was probed. */
    public void onProbed(boolean answered) {
        switch (health.probed(answered)) {
            case NOTHING -> {}
            case UP -> {
                port.count("backend_up");
                reportLoad();
            }
            case DOWN -> noteDown();
        }
    }

    private void reportLoad() {
        links.routers().forEach(router -> send(router, new Frame.LoadReport(load())));
    }

    private void abort(Run run, ResultCode code, String detail) {
        running.remove(run.id());
        port.abort(run.id());
        run.machine().fire(RunEvent.CANCEL);
        monitor.check(
                Promise.GRACEFUL_STOP,
                !stopping || code != ResultCode.ROUTER_STOPPING,
                () -> run + " was cut off by a planned stop");
        fail(run, code, detail);
    }

    private void fail(Run run, ResultCode code, String detail) {
        port.count("failed_" + code.label());
        run.execution().ifPresent(_ -> executions.lost(run, code, detail));
        run.subscribers()
                .forEach(subscriber ->
                        send(subscriber.router(), new Frame.Failed(subscriber.attempt(), code, detail, load())));
        links.forget(run);
    }

    private void emit(Run run, Frame.FromAgent frame) {
        run.execution().ifPresent(_ -> executions.output(run, frame));
        for (Subscriber subscriber : run.subscribers()) {
            if (frame instanceof Frame.Chunk chunk) {
                subscriber.sent(chunk.units());
            }
            send(subscriber.router(), readdress(frame, subscriber.attempt()));
        }
    }

    // ---- order and limits

    private void dispatch() {
        while (running.size() < limit.limit()) {
            Optional<Run> next = queue.next(now(), meter.untilOutput());
            if (next.isEmpty()) {
                return;
            }
            start(next.get());
        }
    }

    private void start(Run run) {
        if (run.timeLeft(now()).isNegative()) {
            shed(run, ResultCode.EXPIRED_IN_QUEUE);
            return;
        }
        monitor.check(Promise.LEAVING_IS_QUIET, open(), () -> run + " was dispatched by a leaving agent");
        run.machine().fire(RunEvent.DISPATCH);
        run.markDispatched(now());
        running.put(run.id(), run);
        run.execution().ifPresent(_ -> executions.begins(run));
        run.subscribers().forEach(subscriber -> send(subscriber.router(), new Frame.Started(subscriber.attempt())));
        port.start(run);
    }

    /** Gives a run that has left the queue back as not run. */
    private void shed(Run run, ResultCode code) {
        run.machine().fire(RunEvent.SHED);
        run.execution().ifPresent(execution -> executions.close(execution, now()));
        Duration retryAfter = pace().drainTime(run.cost());
        run.subscribers().forEach(subscriber -> refuse(subscriber.router(), subscriber.attempt(), code, retryAfter));
        links.forget(run);
    }

    private Pace pace() {
        boolean known = !running.isEmpty() && options.concurrency() instanceof AgentOptions.Concurrency.Adaptive;
        if (!known) {
            // An idle server takes anything: were stale rates believed, nothing would ever measure it anew.
            return new Pace(0, 0, 1);
        }
        int free = limit.limit() - running.size() - queue.size();
        return new Pace(meter.unitsPerSecond(), meter.streamUnitsPerSecond(), free);
    }

    private Load load() {
        long runningUnits =
                running.values().stream().mapToLong(Run::remainingCost).sum();
        return new Load(
                running.size(),
                limit.limit(),
                queue.costByTier(),
                runningUnits,
                meter.unitsPerSecond(),
                meter.streamUnitsPerSecond(),
                queue.size(),
                accepting());
    }

    private boolean accepting() {
        return open() && !health.down();
    }

    /** Returns whether operators want the server to take work. */
    private boolean open() {
        return !stopping && mark() == ServerMark.SERVING;
    }

    private ServerMark mark() {
        return config.servers().server(self).map(BackendServer::mark).orElse(ServerMark.SERVING);
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
        boolean wasAccepting = accepting();
        config = merged;
        limit.gapBound(gapBound());
        port.applied(config);
        if (wasAccepting && !accepting()) {
            giveBackQueue(ResultCode.SERVER_LEAVING);
        }
        if (wasAccepting != accepting()) {
            reportLoad();
        }
        Frame.Heartbeat news = new Frame.Heartbeat(config.revision());
        links.routers().forEach(router -> send(router, news));
    }

    private Duration gapBound() {
        return config.profiles().profiles().stream()
                .map(Profile::betweenTokensTarget)
                .filter(bound -> !bound.isZero())
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    private void giveBackQueue(ResultCode code) {
        queue.takeAll().forEach(run -> shed(run, code));
    }

    /** Begins a planned stop: queued runs go back to their routers, running ones are finished. */
    public void beginStop() {
        if (stopping) {
            return;
        }
        stopping = true;
        giveBackQueue(ResultCode.SERVER_LEAVING);
        reportLoad();
    }

    /** Time has passed; called several times a second. */
    public void onTick() {
        Instant now = now();
        boolean full = running.size() >= limit.limit();
        meter.tick(now, full);
        limit.tick(now, full && !queue.isEmpty());
        queue.takeHopeless(now, pace()).forEach(run -> {
            boolean expired = run.timeLeft(now).isNegative();
            shed(run, expired ? ResultCode.EXPIRED_IN_QUEUE : ResultCode.DEADLINE_UNREACHABLE);
        });
        abortOverdue(now);
        if (health.probeDue(now)) {
            port.probe();
        }
        executions.trim(now);
        links.untold(options.heartbeat()).forEach(this::greet);
        dispatch();
    }

    private void abortOverdue(Instant now) {
        List<Run> overdue = new ArrayList<>();
        for (Run run : running.values()) {
            if (run.deadline().plus(options.overdueGrace()).isBefore(now)) {
                overdue.add(run);
            }
        }
        overdue.forEach(run -> abort(run, ResultCode.ANSWER_TOO_LATE, "its deadline has passed"));
    }

    private void greet(RouterId router) {
        send(router, new Frame.Heartbeat(config.revision()));
        send(router, new Frame.LoadReport(load()));
    }

    private void send(RouterId router, Frame.FromAgent frame) {
        links.send(router, frame);
    }

    private Instant now() {
        return clock.instant();
    }

    /** Returns whether the backend server is taken for able to work. */
    public boolean backendHealthy() {
        return !health.down();
    }
}
