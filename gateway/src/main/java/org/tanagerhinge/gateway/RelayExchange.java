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
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.tanagerhinge.core.attempt.AttemptEnd;
import org.tanagerhinge.core.attempt.AttemptHistory;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.relay.AdmissionControl;
import org.tanagerhinge.core.relay.Mechanism;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.core.relay.WorkspaceConfig;
import org.tanagerhinge.core.result.ResultCode;

/** One request of a caller, from its last byte to the last byte of its answer. */
final class RelayExchange {
    /**
     * How long a request waits for a gateway that has just started to learn its configuration: that takes a tenth of a
     * second, and a caller that is sent away comes back later than that.
     */
    private static final long START_MILLIS = 400;
    /** Servers that fail requests answer with such a status without running them. */
    private static final int FIRST_ERROR = 400;

    private final Gateway gateway;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final long arrived;
    private final CallerTerms terms;
    private final AnswerProgress progress;
    private final RequestTrail trail;
    private final Set<String> tried = new HashSet<>();
    private RelayConfig config;
    private Route route;
    private String service;
    private Optional<WorkspaceConfig> workspace = Optional.empty();
    private long giveUpAt;
    private Future<?> timer;
    private RelayAttempt attempt;
    private AttemptHistory history;
    private RequestFingerprint fingerprint;
    private boolean begun;
    private boolean over;

    private RelayExchange(Gateway gateway, CallerConnection caller, HttpRequest head, ByteBuf body, long arrived) {
        this.gateway = gateway;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.arrived = arrived;
        this.terms = gateway.dialect().callerTerms(head);
        this.progress = AnswerProgress.after(terms.lastEventId());
        this.trail = RequestTrail.of(gateway, terms.attemptId(), arrived);
    }

    /** Returns an exchange for a request that was read whole; its body is taken over. */
    static RelayExchange of(Gateway gateway, CallerConnection caller, HttpRequest head, ByteBuf body, long arrived) {
        return new RelayExchange(gateway, caller, head, body, arrived);
    }

    /** Finds the route and sends the request, or refuses it. */
    void start() {
        gateway.began(this);
        if (!gateway.informed()) {
            timer = gateway.schedule(this::notInformed, START_MILLIS);
            return;
        }
        resolve();
    }

    /** The gateway has its first configuration and server list: whoever waited for them goes on. */
    void informed() {
        if (!over && route == null && timer != null) {
            timer.cancel(false);
            resolve();
        }
    }

    private void notInformed() {
        if (!over && route == null) {
            refuse(Refusal.notRun(ResultCode.NOT_READY, gateway.comeBackMillis()));
        }
    }

    private void resolve() {
        config = gateway.config().orElseThrow();
        Optional<Route> found = config.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        if (found.isEmpty()) {
            refuse(Refusal.of(404, ResultCode.UNKNOWN_PATH));
            return;
        }
        route = found.get();
        workspace = terms.key().flatMap(config::workspace);
        if (workspace.isEmpty() && !route.anonymous() && config.requiresKey()) {
            refuse(Refusal.of(401, ResultCode.UNKNOWN_KEY));
            return;
        }
        long patience = Math.min(terms.patienceMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        giveUpAt = arrived + patience;
        timer = gateway.schedule(this::giveUp, Math.max(1, leftMillis()));
        history = AttemptHistory.of(route.attemptTerms());
        service = route.service(terms.attemptId().hashCode());
        gateway.budget().request(service, gateway.now());
        trail.routed(route, workspace, service, rank(), leftMillis());
        send();
    }

    private void send() {
        long now = gateway.now();
        OptionalLong held = heldMillis(now);
        if (held.isPresent()) {
            trail.held(fingerprint());
            endUnserved("servers end under it", Refusal.notRun(ResultCode.REQUEST_HELD, held.getAsLong()));
            return;
        }
        List<ServerInstance> candidates = gateway.candidates(service, tried, now);
        PlacementRequest request =
                new PlacementRequest(route, config.service(service), terms.prompt(), gateway.domain());
        Optional<PlacementPolicy.Decision> placed = gateway.placement().place(request, candidates, now);
        if (placed.isEmpty()) {
            noServer();
            return;
        }
        ServerInstance chosen = placed.get().server();
        if (gateway.uses(Mechanism.RANK_GATE)
                && history.sends() == 0
                && gateway.ranks().mustYield(rank(), chosen.instanceId(), now)) {
            trail.yields(chosen, rank());
            refuse(Refusal.notRun(ResultCode.QUEUE_FULL, gateway.comeBackMillis()));
            return;
        }
        if (turnedAway(placed.get())) {
            return;
        }
        tried.add(chosen.id());
        history.sent();
        trail.sent(placed.get(), candidates.size(), level(placed.get()));
        attempt = new RelayAttempt(gateway, this, request, placed.get());
        attempt.start();
    }

    /** Refuses a request of the last rank that couldn't be in time where it would go; returns whether it did. */
    private boolean turnedAway(PlacementPolicy.Decision placed) {
        if (history.sends() > 0
                || !gateway.uses(Mechanism.ADMISSION)
                || !config.isLeastUrgent(workspace, route, service)) {
            return false;
        }
        OptionalLong comeBack =
                AdmissionControl.retryAfterMillis(route, placed.expectedWaitMillis(), leftMillis(), gateway.draw());
        comeBack.ifPresent(millis -> {
            trail.turnedAway(placed);
            refuse(Refusal.notRun(ResultCode.QUEUE_FULL, millis));
        });
        return comeBack.isPresent();
    }

    private OptionalLong heldMillis(long now) {
        return gateway.quarantine().empty()
                ? OptionalLong.empty()
                : gateway.quarantine().heldMillis(fingerprint(), now);
    }

    private void noServer() {
        endUnserved("no server to go on at", Refusal.notRun(ResultCode.NO_SERVER, gateway.comeBackMillis(service)));
    }

    /** Ends the exchange without an answer of a server: {@code notRun} is told only if no server may have run it. */
    private void endUnserved(String why, Refusal notRun) {
        if (progress.headPassed()) {
            cut(why);
        } else if (history.mayHaveRun()) {
            refuse(Refusal.of(502, ResultCode.CONNECTION_LOST));
        } else {
            refuse(notRun);
        }
    }

    // ---- what an attempt asks of its request

    CallerConnection caller() {
        return caller;
    }

    String attemptId() {
        return terms.attemptId();
    }

    AnswerProgress progress() {
        return progress;
    }

    HttpMethod method() {
        return head.method();
    }

    /** Returns what is equal for the same request under another id. */
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

    int rank() {
        return config.rank(workspace, route);
    }

    private int level(PlacementPolicy.Decision placed) {
        return config.priorityLevel(workspace, route, service, placed.step());
    }

    /** Returns the time until the request is given up, in milliseconds. */
    long leftMillis() {
        return giveUpAt - gateway.now();
    }

    /** Returns the request as it is sent to the server of a choice; its body is shared with this one. */
    FullHttpRequest requestTo(PlacementPolicy.Decision placed) {
        HttpHeaders headers = head.headers().copy();
        HopHeaders.remove(headers);
        gateway.dialect()
                .prepare(
                        headers,
                        new SendTerms(
                                placed.server().id(),
                                Math.max(1, leftMillis()),
                                workspace.map(WorkspaceConfig::name),
                                level(placed),
                                progress.resumeAfter(),
                                placed.fetch().map(fetch -> fetch.source().address()),
                                progress.weightsVersion()));
        if (body.isReadable() || !bodiless(head.method())) {
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

    private static boolean bodiless(HttpMethod method) {
        return method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD) || method.equals(HttpMethod.DELETE);
    }

    /** Returns whether the request may go to another server though its attempt has run, and takes that from the budget. */
    boolean payForRepeat() {
        return gateway.uses(Mechanism.RETRIES)
                && history.couldRepeatAfterRun(leftMillis())
                && gateway.budget().take(service, gateway.now());
    }

    /** Its attempt has failed; {@code paid} says whether the budget was asked already. */
    void attemptFailed(RelayAttempt ended, AttemptEnd end, String why, boolean paid) {
        history.ended(end.mayHaveRun());
        if (end.mayHaveRun()) {
            serverBegan();
        }
        gateway.attemptFailed(ended.server(), end);
        trail.attemptFailed(
                end, why, ended.began(), progress, end.broken() ? Optional.of(fingerprint()) : Optional.empty());
        attempt = null;
        if (end.broken()) {
            gateway.endedServers().brokeUnder(ended.server(), fingerprint());
        }
        boolean repeat = history.mayRepeat(end.mayHaveRun(), leftMillis())
                && (!end.mayHaveRun() || gateway.uses(Mechanism.RETRIES))
                && (!progress.headPassed() || mayResume())
                && (paid || !end.arrived() || gateway.budget().take(service, gateway.now()));
        if (repeat) {
            trail.again(progress.headPassed(), progress);
            send();
            return;
        }
        endUnserved(why, Refusal.notRun(ResultCode.NO_SERVER, gateway.comeBackMillis(service)));
    }

    private boolean mayResume() {
        return route.resumable() && gateway.uses(Mechanism.RESUME);
    }

    /** A server has begun to run it, as far as can be known: it has answered, or its connection broke under the request. */
    void serverBegan() {
        if (!begun) {
            begun = true;
            workspace.ifPresent(terms -> gateway.serverBegan(terms.name()));
        }
    }

    /** Its attempt has brought a whole answer, which is about to be written to the end. */
    void answered(int status, ServerInstance server) {
        attempt = null;
        gateway.answered(server, status);
        if (status < FIRST_ERROR && !gateway.quarantine().empty()) {
            gateway.quarantine().served(fingerprint(), gateway.now());
        }
        trail.ended(status, progress);
        end();
    }

    // ---- ends

    private void giveUp() {
        if (over) {
            return;
        }
        trail.givenUp();
        boolean sent = attempt != null && attempt.sent();
        dropAttempt();
        if (progress.headPassed()) {
            cut("time is up");
        } else if (sent || history.mayHaveRun()) {
            refuse(Refusal.of(504, ResultCode.ANSWER_TOO_LATE));
        } else {
            refuse(Refusal.notRun(ResultCode.EXPIRED_IN_QUEUE, gateway.comeBackMillis()));
        }
    }

    /** The caller has closed its connection: whatever works for it is stopped. */
    void callerGone() {
        if (over) {
            return;
        }
        trail.callerGone(progress);
        dropAttempt();
        end();
    }

    private void dropAttempt() {
        if (attempt != null) {
            attempt.drop();
            attempt = null;
        }
    }

    /** Goes on elsewhere if the server of a stream that can be resumed has fallen silent. */
    void leaveSilentServer(long silentMillis) {
        if (attempt != null && mayResume()) {
            attempt.leaveIfSilent(silentMillis);
        }
    }

    /** The caller reads again, or has stopped reading. */
    void callerWritable(boolean writable) {
        if (attempt != null) {
            attempt.callerWritable(writable);
        }
    }

    /** Ends the exchange at the bound of a planned stop. */
    void stopNow() {
        if (!over) {
            giveUp();
        }
    }

    private void refuse(Refusal refusal) {
        trail.refused(refusal);
        end();
        caller.refuse(refusal);
    }

    private void cut(String why) {
        trail.cut(why, progress);
        end();
        caller.cut();
    }

    private void end() {
        over = true;
        if (timer != null) {
            timer.cancel(false);
        }
        body.release();
        gateway.ended(this);
    }
}
