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
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.AgentLoad;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.store.StoreEra;

/**
 * Admits, orders, dispatches and ends the requests of one backend server, as a single-threaded event handler.
 *
 * <p>Every public {@code on...} method is an event; its effects leave through the {@link AgentPort}. The daemon, the
 * simulation and the benchmark run the same code.
 */
public final class AgentCore {
    /** Attempt number in a run's recorded output; replaced by the subscriber's own number when the frame is sent. */
    private static final int NO_ATTEMPT = 0;

    private final ServerId serverId;
    private final long incarnation;
    private final AgentOptions options;
    private final InstantSource clock;
    private final AgentPort port;
    private final InvariantMonitor monitor;
    private final AdmissionQueue queue;
    private final ConcurrencyLimit concurrencyLimit;
    private final ThroughputMeter throughputMeter = new ThroughputMeter();
    private final ExecutionTable executions;
    private final Map<Long, Run> runsInFlight = new HashMap<>();
    private final RouterLinks links;
    private final FlowControl flowControl;
    private final ClaimReports claimReports;
    private ClusterConfig config = ClusterConfig.EMPTY;
    private long nextRunId = 1;
    private long storeEra = StoreEra.UNKNOWN;
    private String softwareVersion = "";
    private boolean stopping;
    private final BackendHealth health = new BackendHealth();

    private AgentCore(
            ServerId serverId,
            long incarnation,
            AgentOptions options,
            InstantSource clock,
            AgentPort port,
            InvariantMonitor monitor) {
        this.serverId = serverId;
        this.incarnation = incarnation;
        this.options = options;
        this.clock = clock;
        this.port = port;
        this.monitor = monitor;
        this.queue = new AdmissionQueue(options.maxQueuedRequests(), options.maxQueuedBytes(), monitor);
        this.concurrencyLimit = ConcurrencyLimit.of(options.concurrency());
        this.executions = new ExecutionTable(options, monitor);
        this.links = new RouterLinks(port, clock);
        this.flowControl = new FlowControl(port, options.creditWindowUnits());
        this.claimReports = new ClaimReports(serverId, links, clock);
    }

    /**
     * Creates the core of one agent process.
     *
     * @param incarnation distinguishes this agent process from earlier and later ones of the same server
     */
    public static AgentCore create(
            ServerId serverId,
            long incarnation,
            AgentOptions options,
            InstantSource clock,
            AgentPort port,
            InvariantMonitor monitor) {
        return new AgentCore(serverId, incarnation, options, clock, port, monitor);
    }

    public ServerId serverId() {
        return serverId;
    }

    public long incarnation() {
        return incarnation;
    }

    public ConfigRevision configRevision() {
        return config.revision();
    }

    public ClusterConfig config() {
        return config;
    }

    public int queueLength() {
        return queue.size();
    }

    public int inFlight() {
        return runsInFlight.size();
    }

    public int concurrencyLimit() {
        return concurrencyLimit.limit();
    }

    /** Returns the number of connected routers. */
    public int routerCount() {
        return links.count();
    }

    /** Returns whether a planned stop was requested and no run is queued or in flight. */
    public boolean isDrained() {
        return stopping && runsInFlight.isEmpty() && queue.isEmpty();
    }

    // ---- router connections

    /**
     * Handles a new connection from a router; replaces an earlier one of the same process. Another process of the same name
     * may still be finishing its requests, and its connection ends by itself.
     */
    public void onRouterConnected(RouterId router) {
        onRouterDisconnected(router);
        links.connect(router);
        sendStatus(router);
    }

    /**
     * Handles the loss of a router's connection.
     *
     * <p>Queued runs without another subscriber are cancelled, idempotent ones in flight are aborted. A non-idempotent
     * run in flight continues, and its result is kept for a later attempt with the same key.
     */
    public void onRouterDisconnected(RouterId router) {
        if (!links.isConnected(router)) {
            return;
        }
        claimReports.removeRouter(router);
        for (Run run : links.disconnect(router)) {
            run.subscribers().removeIf(subscriber -> subscriber.router().equals(router));
            if (run.subscribers().isEmpty()) {
                abandon(run);
            } else {
                flowControl.update(run);
            }
        }
        dispatch();
    }

    private void abandon(Run run) {
        if (queue.remove(run)) {
            run.stateMachine().fire(RunEvent.CANCEL);
            run.execution().ifPresent(execution -> executions.close(execution, now()));
        } else if (run.stateMachine().isIn(RunState.RUNNING)) {
            if (run.execution().isPresent()) {
                flowControl.resume(run);
            } else {
                abort(run, ResultCode.CALLER_GONE, "no caller waits for the answer any more");
            }
        }
    }

    // ---- messages

    /** Handles a frame from a connected router; frames of unknown routers are ignored. */
    public void onFrame(RouterId router, Frame.FromRouter frame) {
        if (!links.isConnected(router)) {
            return;
        }
        switch (frame) {
            case Frame.Submit submit -> onSubmit(router, submit);
            case Frame.Attach attach -> onAttach(router, attach);
            case Frame.Cancel cancel -> onCancel(router, cancel.attempt(), cancel.continueRun());
            case Frame.Credit credit -> onCredit(router, credit);
            case Frame.ClaimReport report -> report.claims().forEach(claim -> claimReports.report(claim, router));
            case Frame.Heartbeat heartbeat -> onHeartbeat(router, heartbeat);
            case Frame.ConfigPull pull -> send(router, new Frame.ConfigPush(config));
            case Frame.ConfigPush push -> applyConfig(push.config());
        }
    }

    private void onHeartbeat(RouterId router, Frame.Heartbeat heartbeat) {
        onStoreEra(heartbeat.storeEra());
        if (heartbeat.acceptsClaimReports()) {
            claimReports.addRouter(router);
        }
        if (config.revision().isBehind(heartbeat.revision())) {
            send(router, new Frame.ConfigPull());
        }
    }

    private void onSubmit(RouterId router, Frame.Submit submit) {
        if (links.run(router, submit.attempt()).isPresent()) {
            return;
        }
        if (submit.execution().isPresent()
                && replyFromRecord(router, submit.attempt(), submit.execution().get())) {
            return;
        }
        if (!isAccepting()) {
            ResultCode code = isServing() ? ResultCode.SERVER_DOWN : ResultCode.SERVER_LEAVING;
            closeAndReject(router, submit, code, Duration.ZERO);
            return;
        }
        Run run = new Run(nextRunId++, submit, now());
        switch (queue.offer(run, now(), throughputEstimate())) {
            case AdmissionQueue.AdmissionResult.Rejected rejected ->
                closeAndReject(router, submit, rejected.code(), rejected.retryAfter());
            case AdmissionQueue.AdmissionResult.Admitted admitted -> {
                admitted.evicted().forEach(victim -> shed(victim, ResultCode.EVICTED));
                run.subscribers().add(new Subscriber(router, submit.attempt()));
                links.attach(router, submit.attempt(), run);
                run.execution().ifPresent(_ -> executions.recordQueued(run, now()));
                claim(submit).ifPresent(claim -> claimReports.report(claim, router));
                dispatch();
            }
        }
    }

    /** Tells all routers of a later era of the store than known, since most learn of a restore only by a poll. */
    private void onStoreEra(long stated) {
        if (stated > storeEra) {
            storeEra = stated;
            broadcastHeartbeat();
        }
    }

    private void broadcastHeartbeat() {
        Frame.Heartbeat heartbeat = Frame.Heartbeat.of(config.revision(), storeEra);
        links.routers().forEach(router -> send(router, heartbeat));
    }

    private Optional<StoredClaim> claim(Frame.Submit submit) {
        return submit.claim().map(terms -> {
            Execution execution = submit.execution().orElseThrow();
            ClaimEntry entry = ClaimEntry.requested(
                    execution.digest(), terms.bodyDigest(), serverId, incarnation, submit.request());
            return new StoredClaim(entry.withGeneration(execution.generation()), terms.era());
        });
    }

    private void closeAndReject(RouterId router, Frame.Submit submit, ResultCode code, Duration retryAfter) {
        submit.execution().ifPresent(execution -> executions.close(execution, now()));
        reject(router, submit.attempt(), code, retryAfter);
    }

    private void reject(RouterId router, long attempt, ResultCode code, Duration retryAfter) {
        port.count("refused_" + code.label());
        send(router, new Frame.NotRun(attempt, code, retryAfter, load()));
    }

    /** Replies to an attempt from the record of its execution; returns false if the execution is not recorded. */
    private boolean replyFromRecord(RouterId router, long attempt, Execution execution) {
        switch (executions.lookup(execution)) {
            case ExecutionTable.Status.Unseen unseen -> {
                return false;
            }
            case ExecutionTable.Status.Active active -> subscribe(router, attempt, active.run());
            case ExecutionTable.Status.Completed completed ->
                completed.answer().forEach(frame -> send(router, withAttempt(frame, attempt)));
            case ExecutionTable.Status.ResultUnavailable unavailable ->
                send(router, new Frame.Failed(attempt, unavailable.code(), unavailable.detail(), load()));
            case ExecutionTable.Status.Closed closed -> reject(router, attempt, ResultCode.EVICTED, Duration.ZERO);
        }
        return true;
    }

    private void subscribe(RouterId router, long attempt, Run run) {
        Subscriber subscriber = new Subscriber(router, attempt);
        run.subscribers().add(subscriber);
        links.attach(router, attempt, run);
        if (run.stateMachine().isIn(RunState.RUNNING)) {
            send(router, new Frame.Started(attempt));
        } else {
            send(router, new Frame.Queued(attempt));
        }
        for (Frame.FromAgent frame : executions.outputSoFar(run)) {
            if (frame instanceof Frame.Chunk chunk) {
                subscriber.recordSent(chunk.units());
            }
            send(router, withAttempt(frame, attempt));
        }
        flowControl.update(run);
    }

    private Frame.FromAgent withAttempt(Frame.FromAgent frame, long attempt) {
        return switch (frame) {
            case Frame.Head head -> new Frame.Head(attempt, head.status(), head.contentType());
            case Frame.Chunk chunk -> new Frame.Chunk(attempt, chunk.offsetUnits(), chunk.units(), chunk.data());
            case Frame.Done done -> new Frame.Done(attempt, done.totalUnits(), done.finishReason(), load());
            default -> frame;
        };
    }

    /**
     * Replies to a router that reconnected while its execution was at this agent, or to another router whose caller
     * retried with the same idempotency key.
     */
    private void onAttach(RouterId router, Frame.Attach attach) {
        if (attach.incarnation() != incarnation) {
            send(
                    router,
                    new Frame.Failed(
                            attach.attempt(),
                            ResultCode.OUTCOME_UNKNOWN,
                            "the agent process that received the request has ended",
                            load()));
            return;
        }
        if (replyFromRecord(router, attach.attempt(), attach.execution())) {
            return;
        }
        if (executions.isFull()) {
            send(
                    router,
                    new Frame.Failed(
                            attach.attempt(),
                            ResultCode.OUTCOME_UNKNOWN,
                            "the execution record may have been evicted",
                            load()));
            return;
        }
        executions.close(attach.execution(), now());
        reject(router, attach.attempt(), ResultCode.EVICTED, Duration.ZERO);
    }

    private void onCancel(RouterId router, long attempt, boolean continueRun) {
        Optional<Run> found = links.detach(router, attempt);
        if (found.isEmpty()) {
            return;
        }
        Run run = found.get();
        run.subscribers().removeIf(subscriber -> subscriber.router().equals(router) && subscriber.attempt() == attempt);
        if (run.subscribers().isEmpty() && continueRun && run.execution().isPresent()) {
            flowControl.resume(run);
        } else if (run.subscribers().isEmpty()) {
            if (run.stateMachine().isIn(RunState.RUNNING)) {
                abort(run, ResultCode.CALLER_GONE, "the caller disconnected");
            } else {
                abandon(run);
                reject(router, attempt, ResultCode.CALLER_GONE, Duration.ZERO);
            }
            dispatch();
        } else {
            flowControl.update(run);
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
                subscriber.recordCredit(credit.units());
            }
        }
        flowControl.update(run);
    }

    // ---- the backend server

    /** Handles the response head of a plain service call. */
    public void onResponseHead(long runId, int status, String contentType) {
        Run run = runsInFlight.get(runId);
        if (run != null) {
            emit(run, new Frame.Head(NO_ATTEMPT, status, contentType));
        }
    }

    /**
     * Handles the software version that the backend server states in the answer of a run, before its first output.
     *
     * <p>Routers are told of a new version before they get the output. A run that was to continue an answer of another
     * version fails: the backend server has changed its version since it last stated one.
     */
    public void onSoftwareVersion(long runId, String statedVersion) {
        Run run = runsInFlight.get(runId);
        if (run == null) {
            return;
        }
        if (!statedVersion.equals(softwareVersion)) {
            softwareVersion = statedVersion;
            broadcastLoad();
        }
        String resumeVersion = run.submit().resumeVersion();
        if (!resumeVersion.isEmpty() && !resumeVersion.equals(statedVersion)) {
            abort(
                    run,
                    ResultCode.NO_SERVER_OF_VERSION,
                    "the answer began at software version '" + resumeVersion + "', the backend server has '"
                            + statedVersion + "'");
        }
    }

    /**
     * Handles a piece of output of a run.
     *
     * @param units tokens of a model, bytes of a plain service
     */
    public void onOutput(long runId, long units, byte[] data) {
        Run run = runsInFlight.get(runId);
        if (run == null) {
            return;
        }
        health.recordOutput();
        long offsetUnits = run.producedUnits();
        if (!run.isService()) {
            throughputMeter.recordOutput(units);
            concurrencyLimit.recordOutput(units);
        }
        if (!run.hasOutput()) {
            throughputMeter.recordFirstOutput(Duration.between(run.dispatchedAt(), now()));
        }
        run.recordOutput(units, now()).ifPresent(gap -> {
            if (!run.isService() && !run.paused()) {
                concurrencyLimit.recordGap(gap.dividedBy(Math.max(1, units)));
                throughputMeter.recordGap(gap, units);
            }
        });
        emit(run, new Frame.Chunk(NO_ATTEMPT, offsetUnits, units, data));
        flowControl.update(run);
    }

    /** Handles the end of a complete answer. */
    public void onCompleted(long runId, String finishReason) {
        Run run = runsInFlight.remove(runId);
        if (run == null) {
            return;
        }
        if (run.isService()) {
            throughputMeter.recordOutput(1);
            concurrencyLimit.recordOutput(1);
            throughputMeter.recordGap(Duration.between(run.dispatchedAt(), now()), 1);
        }
        run.stateMachine().fire(RunEvent.FINISH);
        Frame.Done done = new Frame.Done(NO_ATTEMPT, run.producedUnits(), finishReason, load());
        run.subscribers().forEach(subscriber -> send(subscriber.router(), withAttempt(done, subscriber.attempt())));
        run.execution().ifPresent(_ -> executions.recordCompletion(run, done));
        links.detachAll(run);
        dispatch();
    }

    /**
     * Handles the failure of a run at the backend server.
     *
     * @param reachedBackend false if the backend server provably never received the request
     */
    public void onFailed(long runId, boolean reachedBackend, ResultCode code, String detail) {
        Run run = runsInFlight.remove(runId);
        if (run == null) {
            return;
        }
        run.stateMachine().fire(RunEvent.FAIL);
        boolean wentDown = health.recordFailure(reachedBackend);
        if (reachedBackend) {
            fail(run, code, detail);
        } else {
            run.execution().ifPresent(execution -> executions.close(execution, now()));
            run.subscribers()
                    .forEach(subscriber -> reject(subscriber.router(), subscriber.attempt(), code, Duration.ZERO));
            links.detachAll(run);
        }
        if (wentDown) {
            handleBackendDown();
        }
        dispatch();
    }

    private void handleBackendDown() {
        port.count("backend_down");
        rejectQueuedRuns(ResultCode.SERVER_DOWN);
        broadcastLoad();
    }

    /** Handles the result of a health probe. */
    public void onProbeResult(boolean answered) {
        switch (health.recordProbe(answered)) {
            case UNCHANGED -> {}
            case UP -> {
                port.count("backend_up");
                broadcastLoad();
            }
            case DOWN -> handleBackendDown();
        }
    }

    private void broadcastLoad() {
        links.routers().forEach(router -> send(router, new Frame.LoadReport(load())));
    }

    private void abort(Run run, ResultCode code, String detail) {
        runsInFlight.remove(run.id());
        port.abort(run.id());
        run.stateMachine().fire(RunEvent.CANCEL);
        monitor.check(
                Invariant.GRACEFUL_STOP,
                !stopping || code != ResultCode.ROUTER_STOPPING,
                () -> run + " was aborted by a planned stop");
        fail(run, code, detail);
    }

    private void fail(Run run, ResultCode code, String detail) {
        port.count("failed_" + code.label());
        run.execution().ifPresent(_ -> executions.recordFailure(run, code, detail));
        run.subscribers()
                .forEach(subscriber ->
                        send(subscriber.router(), new Frame.Failed(subscriber.attempt(), code, detail, load())));
        links.detachAll(run);
    }

    private void emit(Run run, Frame.FromAgent frame) {
        run.execution().ifPresent(_ -> executions.recordOutput(run, frame));
        for (Subscriber subscriber : run.subscribers()) {
            if (frame instanceof Frame.Chunk chunk) {
                subscriber.recordSent(chunk.units());
            }
            send(subscriber.router(), withAttempt(frame, subscriber.attempt()));
        }
    }

    // ---- dispatch and admission

    private void dispatch() {
        while (runsInFlight.size() < concurrencyLimit.limit()) {
            Optional<Run> next = queue.takeNext(now(), throughputMeter.firstOutputLatencyBound());
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
        monitor.check(
                Invariant.LEAVING_IS_QUIET,
                isServing(),
                () -> run + " was dispatched while the server takes no new work");
        run.stateMachine().fire(RunEvent.DISPATCH);
        run.markDispatched(now());
        runsInFlight.put(run.id(), run);
        run.execution().ifPresent(_ -> executions.recordStart(run));
        run.subscribers().forEach(subscriber -> send(subscriber.router(), new Frame.Started(subscriber.attempt())));
        port.start(run);
    }

    /** Reports a run that was removed from the queue as not run. */
    private void shed(Run run, ResultCode code) {
        run.stateMachine().fire(RunEvent.SHED);
        run.execution().ifPresent(execution -> executions.close(execution, now()));
        Duration retryAfter = throughputEstimate().retryAfter(run.cost());
        run.subscribers().forEach(subscriber -> reject(subscriber.router(), subscriber.attempt(), code, retryAfter));
        links.detachAll(run);
    }

    private ThroughputEstimate throughputEstimate() {
        boolean measured =
                !runsInFlight.isEmpty() && options.concurrency() instanceof AgentOptions.ConcurrencyPolicy.Adaptive;
        if (!measured) {
            // Without work in flight the rates are not refreshed; rejecting on stale rates would keep the server idle
            // for good.
            return new ThroughputEstimate(0, 0, 1);
        }
        int freeSlots = concurrencyLimit.limit() - runsInFlight.size() - queue.size();
        return new ThroughputEstimate(
                throughputMeter.unitsPerSecond(), throughputMeter.streamUnitsPerSecond(), freeSlots);
    }

    private AgentLoad load() {
        long runningUnits =
                runsInFlight.values().stream().mapToLong(Run::remainingCost).sum();
        return new AgentLoad(
                runsInFlight.size(),
                concurrencyLimit.limit(),
                queue.costByTier(),
                runningUnits,
                throughputMeter.unitsPerSecond(),
                throughputMeter.streamUnitsPerSecond(),
                queue.size(),
                isAccepting(),
                softwareVersion);
    }

    private boolean isAccepting() {
        return isServing() && !health.isDown();
    }

    /** Returns whether operators want the server to serve and no planned stop has begun. */
    private boolean isServing() {
        return !stopping && desiredState() == DesiredServerState.SERVING;
    }

    private DesiredServerState desiredState() {
        return config.servers()
                .server(serverId)
                .map(BackendServer::desiredState)
                .orElse(DesiredServerState.SERVING);
    }

    // ---- configuration, timer, shutdown

    /**
     * Applies a configuration received from the platform or a router; documents older than the current ones are
     * ignored.
     */
    public void applyConfig(ClusterConfig offered) {
        ClusterConfig merged = config.merge(offered);
        ConfigRevision oldRevision = config.revision();
        if (!oldRevision.isBehind(merged.revision())) {
            return;
        }
        monitor.check(
                Invariant.CONFIG_FORWARD,
                !merged.revision().isBehind(oldRevision),
                () -> "configuration revision went back from " + oldRevision + " to " + merged.revision());
        boolean wasAccepting = isAccepting();
        config = merged;
        concurrencyLimit.maxMeanGap(minInterTokenTarget());
        port.configApplied(config);
        if (wasAccepting && !isAccepting()) {
            rejectQueuedRuns(ResultCode.SERVER_LEAVING);
        }
        if (wasAccepting != isAccepting()) {
            broadcastLoad();
        }
        broadcastHeartbeat();
    }

    private Duration minInterTokenTarget() {
        return config.profiles().profiles().stream()
                .map(Profile::interTokenTarget)
                .filter(target -> !target.isZero())
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    private void rejectQueuedRuns(ResultCode code) {
        queue.takeAll().forEach(run -> shed(run, code));
    }

    /** Begins a planned stop: queued runs are returned to their routers, runs in flight are completed. */
    public void beginStop() {
        if (stopping) {
            return;
        }
        stopping = true;
        rejectQueuedRuns(ResultCode.SERVER_LEAVING);
        broadcastLoad();
    }

    /** Handles a timer tick; called several times a second. */
    public void onTick() {
        Instant now = now();
        boolean saturated = runsInFlight.size() >= concurrencyLimit.limit();
        throughputMeter.tick(now, saturated);
        concurrencyLimit.tick(now, saturated && !queue.isEmpty());
        queue.takeUnreachable(now, throughputEstimate()).forEach(run -> {
            boolean expired = run.timeLeft(now).isNegative();
            shed(run, expired ? ResultCode.EXPIRED_IN_QUEUE : ResultCode.DEADLINE_UNREACHABLE);
        });
        abortOverdue(now);
        if (health.startProbeIfDue(now)) {
            port.probe();
        }
        executions.evict(now);
        links.loadReportDue(options.heartbeatInterval()).forEach(this::sendStatus);
        dispatch();
    }

    private void abortOverdue(Instant now) {
        List<Run> overdue = new ArrayList<>();
        for (Run run : runsInFlight.values()) {
            if (run.deadline().plus(options.deadlineGrace()).isBefore(now)) {
                overdue.add(run);
            }
        }
        overdue.forEach(
                run -> abort(run, ResultCode.ANSWER_TOO_LATE, "the deadline passed while the request was running"));
    }

    private void sendStatus(RouterId router) {
        send(router, Frame.Heartbeat.of(config.revision(), storeEra));
        send(router, new Frame.LoadReport(load()));
    }

    private void send(RouterId router, Frame.FromAgent frame) {
        links.send(router, frame);
    }

    private Instant now() {
        return clock.instant();
    }

    /** Returns whether the backend server is considered able to serve requests. */
    public boolean isBackendHealthy() {
        return !health.isDown();
    }
}
