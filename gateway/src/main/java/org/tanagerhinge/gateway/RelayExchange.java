package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.attempt.AttemptHistory;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.SuspectRun;
import org.tanagerhinge.core.relay.AdmissionPolicy;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.StreamId;
import org.tanagerhinge.core.relay.StreamOrigin;
import org.tanagerhinge.core.relay.StreamOrigins;
import org.tanagerhinge.core.relay.WorkspaceConfig;
import org.tanagerhinge.core.result.ResultCode;

/** Relays one request of a caller: resolves its route, makes attempts at backend servers, and writes the response. */
final class RelayExchange {
    /**
     * Time that a request waits for a starting gateway to load its configuration before it is refused. Loading takes
     * about 100 ms, and a refused caller would come back later than that.
     */
    private static final long INITIALIZATION_TIMEOUT_MILLIS = 400;
    /** Lowest status that does not clear a suspicion: failing servers send it without executing the request. */
    private static final int MIN_ERROR_STATUS = 400;

    private final Gateway gateway;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final long arrivedAtMillis;
    private final CallerMetadata metadata;
    private final ResponseProgress progress;
    private final RequestTelemetry telemetry;
    private final RequestAdmission admission;
    private final Set<String> triedServers = new HashSet<>();
    private RelayConfig config;
    private Route route;
    private String service;
    private Optional<WorkspaceConfig> workspace = Optional.empty();
    private long deadlineMillis;
    private Future<?> timer;
    private RelayAttempt attempt;
    /** Attempts at other servers while that of {@link #attempt} is silent, the newest last. */
    private final List<RelayAttempt> hedges = new ArrayList<>();

    private boolean hedgeDenied;
    /** Whether the retry budget was charged for a hedge that reached no server. */
    private boolean retryUnused;
    /** Whether the last attempt that may have run the request has failed by a malformed answer. */
    private boolean answerMalformed;

    /** Set while an attempt is in progress that shows whether something quarantined is at fault. */
    private Optional<QuarantineTrial> trial = Optional.empty();

    private AttemptHistory history;
    private RequestFingerprint fingerprint;
    private List<PartId> sharedParts;
    /** What began the stream: at an earlier attempt of the caller, or at the server of the first event. */
    private Optional<StreamOrigin> origin = Optional.empty();

    private long originRecordedAtMillis;
    private boolean executionStarted;
    private boolean finished;

    private RelayExchange(
            Gateway gateway, CallerConnection caller, HttpRequest head, ByteBuf body, long arrivedAtMillis) {
        this.gateway = gateway;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.arrivedAtMillis = arrivedAtMillis;
        this.metadata = gateway.dialect().callerMetadata(head);
        this.progress = ResponseProgress.after(metadata.lastEventId());
        this.admission = RequestAdmission.of(gateway);
        this.telemetry = RequestTelemetry.of(gateway, metadata.attemptId(), arrivedAtMillis);
    }

    /** Returns an exchange for a completely read request, and takes ownership of its body. */
    static RelayExchange of(
            Gateway gateway, CallerConnection caller, HttpRequest head, ByteBuf body, long arrivedAtMillis) {
        return new RelayExchange(gateway, caller, head, body, arrivedAtMillis);
    }

    /** Returns the refusal that a request gets by the current configuration whatever its body is. */
    static Optional<Refusal> refusalByHead(Gateway gateway, HttpRequest head) {
        if (!gateway.initialized()) {
            return Optional.empty();
        }
        RelayConfig config = gateway.config().orElseThrow();
        Optional<Route> route = config.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        if (route.isEmpty()) {
            return Optional.of(Refusal.of(404, ResultCode.UNKNOWN_PATH));
        }
        boolean known = route.get().anonymous()
                || !config.requiresKey()
                || gateway.dialect()
                        .callerMetadata(head)
                        .key()
                        .flatMap(config::workspace)
                        .isPresent();
        return known ? Optional.empty() : Optional.of(Refusal.of(401, ResultCode.UNKNOWN_KEY));
    }

    /** Returns the size of the body in bytes. */
    int bodyBytes() {
        return body.refCnt() == 0 ? 0 : body.capacity();
    }

    /** Resolves the route and sends the request, or refuses it. */
    void start() {
        gateway.exchangeStarted(this);
        if (!gateway.initialized()) {
            timer = gateway.schedule(this::initializationTimedOut, INITIALIZATION_TIMEOUT_MILLIS);
            return;
        }
        resolveRoute();
    }

    /** Continues a request that waited for the gateway's first configuration and server list. */
    void gatewayInitialized() {
        if (!finished && route == null && timer != null) {
            timer.cancel(false);
            resolveRoute();
        }
    }

    private void initializationTimedOut() {
        if (!finished && route == null) {
            refuse(Refusal.notExecuted(ResultCode.NOT_READY, gateway.retryAfterMillis()));
        }
    }

    private void resolveRoute() {
        config = gateway.config().orElseThrow();
        Optional<Route> found = config.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        if (found.isEmpty()) {
            refuse(Refusal.of(404, ResultCode.UNKNOWN_PATH));
            return;
        }
        route = found.get();
        workspace = metadata.key().flatMap(config::workspace);
        if (workspace.isEmpty() && !route.anonymous() && config.requiresKey()) {
            refuse(Refusal.of(401, ResultCode.UNKNOWN_KEY));
            return;
        }
        long timeoutMillis = Math.min(metadata.timeoutMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        deadlineMillis = arrivedAtMillis + timeoutMillis;
        if (gateway.mayOutlastStop(deadlineMillis)) {
            refuse(Refusal.notExecuted(ResultCode.ROUTER_STOPPING, gateway.retryAfterMillis()));
            return;
        }
        timer = gateway.schedule(this::deadlineExpired, Math.max(1, remainingMillis()));
        history = AttemptHistory.of(route.attemptLimits());
        if (resumesStream()) {
            findOrigin();
        } else {
            begin(route.service(metadata.attemptId().hashCode()));
        }
    }

    private void begin(String foundService) {
        service = foundService;
        gateway.budget().recordRequest(service, gateway.nowMillis());
        gateway.crashQuarantine().requestArrived(sharedParts());
        telemetry.routed(route, workspace, service, rank(), remainingMillis());
        startAttempt();
    }

    private boolean resumesStream() {
        return route.resumable() && (metadata.resumedAttemptId().isPresent() || metadata.lastEventId() > 0);
    }

    private void findOrigin() {
        String resumedId = metadata.resumedAttemptId().orElse("");
        telemetry.takenUp(route, resumedId, metadata.lastEventId());
        gateway.streams()
                .find(metadata.resumedAttemptId().map(this::streamId), route, resumedId.hashCode(), this::originFound);
    }

    private void originFound(OriginMatch match) {
        if (finished) {
            return;
        }
        telemetry.matched(match);
        switch (match) {
            case OriginMatch.Unknown unknown ->
                refuse(Refusal.notExecuted(ResultCode.STREAM_UNKNOWN, gateway.retryAfterMillis()));
            case OriginMatch.Found found -> {
                String serviceNow = route.leadsTo(found.origin().service())
                        ? found.origin().service()
                        : route.service(metadata.resumedAttemptId().orElse("").hashCode());
                origin = Optional.of(new StreamOrigin(serviceNow, found.origin().softwareVersion()));
                begin(serviceNow);
            }
        }
    }

    private StreamId streamId(String attemptId) {
        return StreamId.of(workspace.map(WorkspaceConfig::name).orElse(""), attemptId);
    }

    private Optional<String> softwareVersion() {
        return origin.map(StreamOrigin::softwareVersion);
    }

    private void startAttempt() {
        long nowMillis = gateway.nowMillis();
        Optional<CrashQuarantine.Held> held = gateway.crashQuarantine().held(this::fingerprint, sharedParts());
        if (held.isPresent() && !held.get().trialDue()) {
            telemetry.quarantined(held.get().reason());
            endWithoutResponse(
                    "request is quarantined: " + held.get().reason(),
                    Refusal.notExecuted(ResultCode.REQUEST_HELD, held.get().remainingMillis()));
            return;
        }
        List<ServerInstance> candidates =
                gateway.candidates(service, softwareVersion(), triedServers, history.metUnreachableServer(), nowMillis);
        PlacementRequest request = placementRequest();
        Optional<PlacementPolicy.Decision> decision = gateway.placement().place(request, candidates, nowMillis);
        if (decision.isEmpty()) {
            admission.withoutServer(new AdmissionPolicy.Request(config, request, workspace, remainingMillis()));
            failWithoutServer();
            return;
        }
        if (rejected(request, decision.get())) {
            return;
        }
        trial = held.map(gateway.crashQuarantine()::takeTrial);
        attempt = newAttempt(request, decision.get(), candidates.size());
        attempt.start();
    }

    private PlacementRequest placementRequest() {
        return new PlacementRequest(route, config.service(service), metadata.prompt(), gateway.domain());
    }

    private RelayAttempt newAttempt(PlacementRequest request, PlacementPolicy.Decision decision, int candidates) {
        triedServers.add(decision.server().id());
        history.recordSend();
        int number = telemetry.sent(
                decision, candidates, level(decision), gateway.crashQuarantine().suspected(sharedParts()));
        return new RelayAttempt(gateway, this, request, decision, number);
    }

    /**
     * Hedges a request whose server is silent: a resumable stream whose server has sent nothing for longer than a time,
     * though its caller reads, or one whose response is overdue and which could not be hedged before.
     */
    void hedgeIfSilent(long maxStreamSilenceMillis) {
        if (attempt == null) {
            return;
        }
        if (!hedged()
                && attempt.streaming()
                && attempt.silenceMillis() > maxStreamSilenceMillis
                && caller.writable()
                && canResume()
                && progress.resumeAfterEvent().isPresent()) {
            hedge(attempt);
        } else {
            newestAttempt().hedgeIfOverdue();
        }
    }

    /**
     * Sends the request to another server while that of its newest attempt is silent, if it may be sent again and
     * another server can take it. The first attempt to go on with the answer serves the caller, and the others are
     * cancelled: a server that is only slow costs nobody an answer.
     */
    void hedge(RelayAttempt silent) {
        long nowMillis = gateway.nowMillis();
        if (silent != newestAttempt()
                || !gateway.enabled(Mechanism.RETRIES)
                || !history.couldRetryAfterRuns(attempts().size(), remainingMillis())) {
            return;
        }
        if (!retryUnused && !gateway.budget().allows(service, nowMillis)) {
            noteHedgeDenied();
            return;
        }
        List<ServerInstance> candidates =
                gateway.healthyCandidates(service, softwareVersion(), triedServers, nowMillis);
        PlacementRequest request = placementRequest();
        Optional<PlacementPolicy.Decision> decision = gateway.placement().place(request, candidates, nowMillis);
        if (decision.isEmpty()
                || gateway.crashQuarantine()
                        .held(this::fingerprint, sharedParts())
                        .isPresent()
                || !(retryUnused || gateway.budget().tryTake(service, nowMillis))) {
            return;
        }
        retryUnused = false;
        telemetry.hedged(silent);
        RelayAttempt hedge = newAttempt(request, decision.get(), candidates.size());
        hedges.add(hedge);
        hedge.start();
    }

    private void noteHedgeDenied() {
        if (!hedgeDenied) {
            hedgeDenied = true;
            telemetry.retryDenied(service);
        }
    }

    /** Returns whether more than one attempt is in progress. */
    boolean hedged() {
        return !hedges.isEmpty();
    }

    private RelayAttempt newestAttempt() {
        return hedged() ? hedges.getLast() : attempt;
    }

    /** Cancels the other attempts, if there are any: this one goes on with the answer. */
    void answeredBy(RelayAttempt answering) {
        if (!hedged()) {
            return;
        }
        boolean moved = answering != attempt;
        List<RelayAttempt> others =
                attempts().stream().filter(other -> other != answering).toList();
        attempt = answering;
        hedges.clear();
        telemetry.answeredBy(answering);
        others.forEach(other -> cancelBeside(answering, other));
        if (moved) {
            telemetry.retried(service, progress);
        }
    }

    private void cancelBeside(RelayAttempt answering, RelayAttempt other) {
        long silenceMillis = other.silenceMillis();
        cancel(other);
        history.recordEnd(other.sent());
        if (other.number() < answering.number()) {
            gateway.attemptFailed(other.server(), AttemptFailure.SILENT);
            telemetry.replaced(other, silenceMillis, progress);
        } else {
            telemetry.hedgeCancelled();
        }
    }

    /** Refuses a request that the admission policy rejects; returns whether it did. */
    private boolean rejected(PlacementRequest request, PlacementPolicy.Decision decision) {
        if (origin.isPresent() && gateway.streams().mixed(service)) {
            admission.admitRest(new AdmissionPolicy.Request(config, request, workspace, remainingMillis()), decision);
            return false;
        }
        Optional<AdmissionPolicy.Rejection> rejection = admission.rejection(
                new AdmissionPolicy.Request(config, request, workspace, remainingMillis()), decision);
        rejection.ifPresent(found -> {
            telemetry.rejected(found, decision, rank());
            refuse(Refusal.notExecuted(ResultCode.QUEUE_FULL, found.retryAfterMillis()));
        });
        return rejection.isPresent();
    }

    private void failWithoutServer() {
        if (origin.isPresent() && gateway.streams().mixed(service)) {
            telemetry.withoutServerOfVersion(service, origin.get().softwareVersion());
            endWithoutResponse(
                    "no server of the stream's software version available for another attempt",
                    Refusal.notExecuted(ResultCode.NO_SERVER_OF_VERSION, retryAfterMillis()));
        } else {
            telemetry.withoutServer("no server available for another attempt", service);
            endWithoutResponse(
                    "no server available for another attempt",
                    Refusal.notExecuted(ResultCode.NO_SERVER, retryAfterMillis()));
        }
    }

    private long retryAfterMillis() {
        return gateway.retryAfterMillis(service, softwareVersion());
    }

    /**
     * Ends the exchange without a server's response; uses {@code refusalIfNotExecuted} only if no server may have
     * executed the request.
     */
    private void endWithoutResponse(String reason, Refusal refusalIfNotExecuted) {
        if (progress.headForwarded()) {
            truncate(reason);
        } else if (history.mayHaveRun()) {
            refuse(Refusal.of(502, answerMalformed ? ResultCode.MALFORMED_ANSWER : ResultCode.CONNECTION_LOST));
        } else {
            refuse(refusalIfNotExecuted);
        }
    }

    // ---- used by attempts

    CallerConnection caller() {
        return caller;
    }

    String attemptId() {
        return metadata.attemptId();
    }

    ResponseProgress progress() {
        return progress;
    }

    HttpMethod method() {
        return head.method();
    }

    /** Returns the fingerprint, which is equal for retries of the same request under other ids. */
    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = RequestFingerprint.of(
                    workspace.map(WorkspaceConfig::name).orElse(""),
                    head.method().name(),
                    head.headers().get(HttpHeaderNames.HOST, ""),
                    head.uri(),
                    body.nioBuffer());
        }
        return fingerprint;
    }

    private List<PartId> sharedParts() {
        if (sharedParts == null) {
            sharedParts = metadata.prompt().sharedPartIds();
        }
        return sharedParts;
    }

    /**
     * Returns what may crash the server on which this request runs.
     *
     * @param sound whether an answer has shown the prompt to be sound
     */
    private SuspectRun suspectRun(boolean sound) {
        return new SuspectRun(fingerprint(), sound ? List.of() : sharedParts());
    }

    /** Records that a server has gone on with the answer, which shows the prompt to be sound. */
    void runIsSound(ServerInstance server) {
        gateway.crashQuarantine().runIsSound(server, sharedParts());
    }

    /** Records that an attempt ended that may have begun to run; {@code completed} tells whether the server answered. */
    private void runEnded(RelayAttempt ended, boolean completed) {
        if (!sharedParts().isEmpty() || !gateway.crashQuarantine().requests().isEmpty()) {
            gateway.crashQuarantine().runEnded(ended.server(), suspectRun(ended.sound()), completed);
        }
    }

    /** Returns what to do if a connection breaks on which the server finishes an attempt for no caller. */
    Runnable detachedConnectionBroke(RelayAttempt detached) {
        SuspectRun run = suspectRun(detached.sound());
        return () -> gateway.crashDetector().connectionBroke(detached.server(), run);
    }

    int rank() {
        return config.rank(workspace, route);
    }

    private int level(PlacementPolicy.Decision decision) {
        return config.priorityLevel(workspace, route, service, decision.step());
    }

    /** Returns the time until the deadline, in milliseconds. */
    long remainingMillis() {
        return deadlineMillis - gateway.nowMillis();
    }

    /** Returns the request for the chosen server; it shares the body of this one. */
    FullHttpRequest backendRequest(PlacementPolicy.Decision decision) {
        HttpHeaders headers = head.headers().copy();
        HopByHopHeaders.remove(headers);
        gateway.dialect()
                .prepareBackendRequest(
                        headers,
                        new BackendRequestMetadata(
                                decision.server().id(),
                                Math.max(1, remainingMillis()),
                                workspace.map(WorkspaceConfig::name),
                                level(decision),
                                progress.resumeAfterEvent(),
                                decision.fetch().map(fetch -> fetch.source().address()),
                                progress.weightsVersion()));
        if (body.isReadable() || !usuallyWithoutBody(head.method())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                body.retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private static boolean usuallyWithoutBody(HttpMethod method) {
        return method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD) || method.equals(HttpMethod.DELETE);
    }

    /**
     * Takes a retry from the budget for a request that may have been executed; returns whether it may be retried and
     * there is a server to retry it at.
     */
    boolean takeRetryBudget() {
        return gateway.enabled(Mechanism.RETRIES)
                && history.couldRetryAfterRuns(1, remainingMillis())
                && gateway.hasUntriedServer(service, softwareVersion(), triedServers)
                && tryTakeRetry();
    }

    private boolean tryTakeRetry() {
        boolean taken = gateway.budget().tryTake(service, gateway.nowMillis());
        if (!taken) {
            telemetry.retryDenied(service);
        }
        return taken;
    }

    /**
     * Retries a failed attempt or ends the exchange; {@code retryBudgetTaken} tells whether the budget was charged
     * already.
     */
    void attemptFailed(RelayAttempt ended, AttemptFailure failure, String reason, boolean retryBudgetTaken) {
        if (failure.mayHaveRun()) {
            answerMalformed = failure == AttemptFailure.MALFORMED;
        }
        if (failure.reachedServer()) {
            history.recordEnd(failure.mayHaveRun());
        } else {
            history.recordUnreachable();
        }
        if (failure.mayHaveRun()) {
            markExecutionStarted();
        }
        gateway.attemptFailed(ended.server(), failure);
        if (!hedged() || failure.mayHaveRun()) {
            admission.attemptFailed(ended.server(), failure);
        }
        telemetry.attemptFailed(
                ended,
                failure,
                reason,
                progress,
                failure.connectionBroken()
                        ? Optional.of(new RequestTelemetry.Suspect(fingerprint(), metadata.prompt()))
                        : Optional.empty());
        if (failure.connectionBroken()) {
            gateway.crashDetector().connectionBroke(ended.server(), suspectRun(ended.sound()));
        } else if (failure.mayHaveRun()) {
            runEnded(ended, false);
        }
        endTrial(failure);
        if (hedged()) {
            retryUnused = !failure.reachedServer();
            if (!hedges.remove(ended)) {
                attempt = hedges.removeFirst();
            }
            telemetry.answeredBy(attempt);
            newestAttempt().hedgeIfOverdue();
            return;
        }
        attempt = null;
        boolean retry = history.mayRetry(failure.mayHaveRun(), remainingMillis())
                && (!failure.mayHaveRun() || gateway.enabled(Mechanism.RETRIES))
                && (!progress.headForwarded() || canResume())
                && (retryBudgetTaken || !failure.reachedServer() || tryTakeRetry());
        if (retry) {
            telemetry.retried(service, progress);
            startAttempt();
            return;
        }
        telemetry.withoutServer(reason, service);
        endWithoutResponse(reason, Refusal.notExecuted(ResultCode.NO_SERVER, retryAfterMillis()));
    }

    /** Ends a trial whose attempt has failed; if the connection broke, it may still turn out that the server crashed. */
    private void endTrial(AttemptFailure failure) {
        if (failure.connectionBroken()) {
            trial = Optional.empty();
        } else {
            endTrial(failure.mayHaveRun());
        }
    }

    private void endTrial(boolean mayHaveRun) {
        trial.ifPresent(mayHaveRun ? QuarantineTrial::showedNothing : QuarantineTrial::didNotRun);
        trial = Optional.empty();
    }

    private boolean canResume() {
        return route.resumable() && gateway.enabled(Mechanism.RESUME);
    }

    /** Records what began the stream, before its first event is forwarded to the caller. */
    void streamBegins(ServerInstance server) {
        if (!route.resumable()) {
            return;
        }
        if (origin.isEmpty()) {
            origin = Optional.of(new StreamOrigin(service, server.softwareVersion()));
        } else if (resumesStream()) {
            telemetry.takenUpContinues();
        }
        recordOrigin();
    }

    private void recordOrigin() {
        originRecordedAtMillis = gateway.nowMillis();
        String firstAttemptId = metadata.resumedAttemptId().orElseGet(metadata::attemptId);
        if (!firstAttemptId.isEmpty()) {
            gateway.streams().begun(streamId(firstAttemptId), origin.get(), route);
        }
    }

    /** Records the origin of an open stream again before it expires. */
    void refreshOrigin(long nowMillis) {
        if (origin.isPresent()
                && progress.headForwarded()
                && nowMillis - originRecordedAtMillis > StreamOrigins.REFRESH_MILLIS) {
            recordOrigin();
        }
    }

    /** Records the first output of a server. */
    void outputBegan() {
        markExecutionStarted();
        telemetry.outputBegan();
    }

    /** Records that a server has probably started to execute the request: it responded, or its connection broke. */
    void markExecutionStarted() {
        if (!executionStarted) {
            executionStarted = true;
            workspace.ifPresent(owner -> gateway.executionStarted(owner.name()));
        }
    }

    /** Ends the exchange after a complete response, whose last part is written next. */
    void responseCompleted(int status, ServerInstance server) {
        gateway.responseReceived(server, status);
        runEnded(attempt, status < MIN_ERROR_STATUS);
        if (status < MIN_ERROR_STATUS) {
            // The server has to stay up for a while before this shows anything.
            trial = Optional.empty();
        } else {
            endTrial(true);
        }
        attempt = null;
        admission.completed(status, gateway.nowMillis() - arrivedAtMillis);
        telemetry.completed(status, progress);
        finish();
    }

    // ---- end of the exchange

    private void deadlineExpired() {
        if (finished) {
            return;
        }
        telemetry.abandoned();
        boolean sent = attempt != null && attempt.sent();
        cancelAttempts();
        if (progress.headForwarded()) {
            truncate("deadline expired");
        } else if (sent || history.mayHaveRun()) {
            refuse(Refusal.of(504, ResultCode.ANSWER_TOO_LATE));
        } else {
            refuse(Refusal.notExecuted(ResultCode.EXPIRED_IN_QUEUE, gateway.retryAfterMillis()));
        }
    }

    /** Cancels the attempt since the caller has closed its connection. */
    void callerDisconnected() {
        if (finished) {
            return;
        }
        telemetry.callerDisconnected(progress);
        cancelAttempts();
        finish();
    }

    private void cancelAttempts() {
        attempts().forEach(this::cancel);
        attempt = null;
        hedges.clear();
    }

    private void cancel(RelayAttempt inProgress) {
        inProgress.cancel();
        if (inProgress.sent()) {
            runEnded(inProgress, false);
        }
        endTrial(inProgress.sent());
    }

    private List<RelayAttempt> attempts() {
        return Stream.concat(Stream.ofNullable(attempt), hedges.stream()).toList();
    }

    /** Passes a change of the caller's writability to the attempts. */
    void callerWritabilityChanged(boolean writable) {
        attempts().forEach(inProgress -> inProgress.callerWritabilityChanged(writable));
    }

    /** Aborts the exchange when the time for a graceful stop runs out. */
    void abort() {
        if (!finished) {
            deadlineExpired();
        }
    }

    private void refuse(Refusal refusal) {
        telemetry.refused(refusal);
        finish();
        caller.refuse(refusal);
    }

    private void truncate(String reason) {
        telemetry.truncated(reason, progress);
        finish();
        caller.abortResponse();
    }

    private void finish() {
        finished = true;
        if (timer != null) {
            timer.cancel(false);
        }
        body.release();
        gateway.exchangeEnded(this);
    }
}
