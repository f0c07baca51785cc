package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.attempt.PartQuarantine;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.RankGate;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.RouteKind;
import org.tanagerhinge.core.relay.ServerInstance;

/**
 * Sends a request to one backend server, and forwards the part of the response that the caller has not yet received.
 */
final class RelayAttempt implements AttemptListener {
    /** Responses up to this size are buffered until complete, so that a broken one can be retried. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /** Multiple of its latency target after which a safe request without a response is tried elsewhere. */
    private static final int RESPONSE_TIMEOUT_FACTOR = 3;
    /**
     * Maximum idle time of a connection for non-idempotent requests, which cannot be retried if the server closes it.
     */
    private static final long MAX_IDLE_NON_IDEMPOTENT_MILLIS = 1_500;

    /** Time in which a response that is not forwarded may end; then its connection is closed. */
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(10);

    private static final long NOT_BEGUN = -1;

    private final Gateway gateway;
    private final RelayExchange exchange;
    private final CallerConnection caller;
    private final ResponseProgress progress;
    private final PlacementRequest request;
    private final Route route;
    private final PlacementPolicy.Decision decision;
    private final ServerInstance server;
    private final int number;
    private final long startedAtMillis;
    private BackendConnection connection;
    private boolean sent;
    private boolean prefillPending = true;
    private boolean finished;
    private boolean retryBudgetTaken;
    private boolean streaming;
    private long answerBeganAtMillis = NOT_BEGUN;
    private boolean sound;
    private Future<?> responseTimer;
    private boolean overdue;
    private RankGate.PendingRequest firstOutputWait;
    private HttpResponse response;
    private CompositeByteBuf buffered;
    /** Bytes of {@link #buffered} that the caller's connection accounts for. */
    private int heldBytes;

    private EventSplitter events;

    RelayAttempt(
            Gateway gateway,
            RelayExchange exchange,
            PlacementRequest request,
            PlacementPolicy.Decision decision,
            int number) {
        this.gateway = gateway;
        this.exchange = exchange;
        this.caller = exchange.caller();
        this.progress = exchange.progress();
        this.request = request;
        this.route = request.route();
        this.decision = decision;
        this.server = decision.server();
        this.number = number;
        this.startedAtMillis = gateway.nowMillis();
    }

    ServerInstance server() {
        return server;
    }

    /** Returns the number of the attempt, from 1. */
    int number() {
        return number;
    }

    /** Returns the start time of the attempt, in milliseconds. */
    long startedAtMillis() {
        return startedAtMillis;
    }

    /** Returns whether the request was handed to a connection, so that the server may be executing it. */
    boolean sent() {
        return sent;
    }

    /** Returns whether the server has gone on with the answer for long enough to show that the prompt is sound. */
    boolean sound() {
        return sound;
    }

    /** Takes a pooled connection or opens one, and sends the request. */
    void start() {
        gateway.requestSent(request, decision);
        firstOutputWait = RankGate.PendingRequest.of(
                server.instanceId(), exchange.rank(), startedAtMillis + route.targetMillis());
        gateway.admission().rankGate().recordSent(firstOutputWait);
        long maxIdleMillis = route.idempotent() ? Long.MAX_VALUE : MAX_IDLE_NON_IDEMPOTENT_MILLIS;
        BackendConnection pooled = gateway.pool().pollIdle(server, maxIdleMillis);
        if (pooled != null) {
            transmit(pooled);
            return;
        }
        gateway.pool().connect(server, opened -> {
            if (finished) {
                if (opened != null) {
                    gateway.pool().release(opened);
                }
            } else if (opened == null) {
                fail(AttemptFailure.NOT_SENT, "could not connect");
            } else {
                transmit(opened);
            }
        });
    }

    private void transmit(BackendConnection usableConnection) {
        connection = usableConnection;
        sent = true;
        connection.setReading(caller.writable());
        connection.send(exchange.backendRequest(decision), exchange.attemptId(), this);
        if (route.kind() == RouteKind.SAFE && route.targetMillis() > 0) {
            responseTimer = gateway.schedule(this::responseTimedOut, RESPONSE_TIMEOUT_FACTOR * route.targetMillis());
        }
    }

    private void responseTimedOut() {
        overdue = true;
        hedgeIfOverdue();
    }

    /** Hedges the request if the server has not responded in time. */
    void hedgeIfOverdue() {
        if (overdue && !finished && response == null) {
            exchange.hedge(this);
        }
    }

    /** Returns for how long the server has sent nothing, in milliseconds; 0 if it need not have sent anything yet. */
    long silenceMillis() {
        if (streaming) {
            return server.silenceMillis(gateway.nowMillis());
        }
        return response == null ? gateway.nowMillis() - startedAtMillis : 0;
    }

    /** Returns whether the server has sent the first events of a stream. */
    boolean streaming() {
        return streaming;
    }

    /** Stops or resumes reading from the server with the caller. */
    void callerWritabilityChanged(boolean writable) {
        if (connection != null) {
            connection.setReading(writable);
        }
    }

    @Override
    public void responseHead(HttpResponse response, BackendResponseMetadata metadata) {
        int status = response.status().code();
        server.recordReceived(gateway.nowMillis());
        metadata.load().ifPresent(load -> gateway.loadReported(server, load));
        if (status == 421) {
            gateway.serverReplaced(server);
            failKeepingConnection(AttemptFailure.WRONG_SERVER, "another server instance answers at this address");
        } else if (metadata.notExecuted()) {
            failKeepingConnection(AttemptFailure.NOT_RUN, "server rejected the request with status " + status);
        } else {
            handleResponse(response, metadata);
        }
    }

    private void handleResponse(HttpResponse response, BackendResponseMetadata metadata) {
        int status = response.status().code();
        if (route.kind() != RouteKind.STREAM || status != HttpResponseStatus.OK.code()) {
            exchange.markExecutionStarted();
        }
        if (!acceptable(response, metadata)) {
            connection.abort();
            fail(AttemptFailure.BROKEN, "response is unsigned or has a content coding");
        } else if (status >= 500 && progress.headForwarded()) {
            failKeepingConnection(AttemptFailure.SERVER_ERROR, "server responded with status " + status);
        } else if (status >= 500 && (exchange.hedged() || exchange.takeRetryBudget())) {
            retryBudgetTaken = true;
            failKeepingConnection(AttemptFailure.SERVER_ERROR, "server responded with status " + status);
        } else {
            beginResponse(response, metadata);
        }
    }

    private static boolean acceptable(HttpResponse response, BackendResponseMetadata metadata) {
        return metadata.sealed() && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    private void beginResponse(HttpResponse response, BackendResponseMetadata metadata) {
        int status = response.status().code();
        this.response = response;
        if (route.kind() == RouteKind.STREAM && status == 200) {
            events = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
            progress.startedWith(metadata.weightsVersion());
            return;
        }
        if (progress.headForwarded()) {
            connection.abort();
            fail(AttemptFailure.CUT, "server responded with status " + status + " to a resumed stream");
            return;
        }
        buffered = Unpooled.compositeBuffer(64);
    }

    @Override
    public void responseBody(ByteBuf bytes) {
        if (events != null) {
            forwardEvents(bytes);
        } else if (buffered == null) {
            caller.writeChunk(bytes.retain());
        } else {
            boolean held = caller.holdAnswer(bytes.readableBytes());
            heldBytes += held ? bytes.readableBytes() : 0;
            buffered.addComponent(true, bytes.retain());
            if (!held || buffered.readableBytes() > MAX_BUFFERED_BYTES) {
                forwardHead();
                caller.writeChunk(buffered);
                buffered = null;
                releaseHeld();
            }
        }
    }

    @Override
    public long heldBytes() {
        return events == null || finished ? 0 : events.heldBytes();
    }

    private void forwardEvents(ByteBuf bytes) {
        long nowMillis = gateway.nowMillis();
        server.recordReceived(nowMillis);
        noteProgress(nowMillis);
        for (EventSplitter.Event event : events.feed(bytes)) {
            noteFirstOutput();
            if (finished || progress.alreadyForwarded(event.id())) {
                event.bytes().release();
                continue;
            }
            exchange.answeredBy(this);
            if (!progress.headForwarded()) {
                exchange.streamBegins(server);
                forwardHead();
            }
            progress.forwarded(event.id(), nowMillis);
            caller.writeChunk(event.bytes());
        }
        if (!finished && events.oversized()) {
            connection.abort();
            fail(AttemptFailure.BROKEN, "unterminated event exceeds 1 MiB");
        }
    }

    /** Records that bytes of the answer have arrived, which show the prompt to be sound once it has gone on for long. */
    private void noteProgress(long nowMillis) {
        if (answerBeganAtMillis == NOT_BEGUN) {
            answerBeganAtMillis = nowMillis;
        } else if (!sound && !gateway.stalled() && nowMillis - answerBeganAtMillis >= PartQuarantine.SOUND_RUN_MILLIS) {
            sound = true;
            exchange.runIsSound(server);
        }
    }

    private void forwardHead() {
        exchange.answeredBy(this);
        HttpHeaders headers = response.headers().copy();
        HopByHopHeaders.remove(headers);
        if (events != null || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        progress.markHeadForwarded();
        caller.writeHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
    }

    @Override
    public void responseCompleted() {
        if (finished) {
            return;
        }
        if (events != null && events.hasPartialEvent()) {
            fail(progress.headForwarded() ? AttemptFailure.CUT : AttemptFailure.BROKEN, "stream ended inside an event");
            return;
        }
        stopTracking();
        exchange.answeredBy(this);
        if (events == null && buffered != null) {
            writeBuffered();
            return;
        }
        if (!progress.headForwarded()) {
            forwardHead();
        }
        exchange.responseCompleted(response.status().code(), server);
        caller.endResponse();
    }

    private void writeBuffered() {
        HttpHeaders headers = response.headers().copy();
        HopByHopHeaders.remove(headers);
        if (!statesLengthOfOtherResponse()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, buffered.readableBytes());
        }
        ByteBuf body = buffered;
        buffered = null;
        releaseHeld();
        exchange.responseCompleted(response.status().code(), server);
        caller.writeResponse(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, response.status(), body, headers, EmptyHttpHeaders.INSTANCE));
    }

    /** Returns whether a length in the head is that of a body which the response leaves out. */
    private boolean statesLengthOfOtherResponse() {
        return exchange.method().equals(HttpMethod.HEAD) || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    @Override
    public void attemptFailed(AttemptFailure failure, String reason) {
        fail(progress.headForwarded() && failure.connectionBroken() ? AttemptFailure.CUT : failure, reason);
    }

    /** Fails the attempt but lets the connection discard the rest of the response and stay usable. */
    private void failKeepingConnection(AttemptFailure failure, String reason) {
        connection.detach(DISCARD_TIMEOUT, () -> {});
        fail(failure, reason);
    }

    private void fail(AttemptFailure failure, String reason) {
        if (finished) {
            return;
        }
        stopTracking();
        releaseBuffered();
        exchange.attemptFailed(this, failure, reason, retryBudgetTaken);
    }

    /** Cancels the attempt because its response is no longer needed. */
    void cancel() {
        stopTracking();
        releaseBuffered();
        if (connection == null) {
            return;
        }
        if (route.kind() == RouteKind.UNSAFE) {
            Duration remaining = Duration.ofMillis(Math.max(0, exchange.remainingMillis()));
            connection.detach(remaining.plus(DISCARD_TIMEOUT), exchange.detachedConnectionBroke(this));
        } else {
            connection.abort();
        }
    }

    private void noteFirstOutput() {
        if (!streaming) {
            streaming = true;
            exchange.outputBegan();
            server.recordStreamStart();
            gateway.admission().rankGate().recordSettled(firstOutputWait);
        }
        if (prefillPending) {
            prefillPending = false;
            server.recordPrefill(route.priority(), decision.tokensToPrefill());
            gateway.placement().recordPrefill(request, decision, gateway.nowMillis() - startedAtMillis);
        }
    }

    private void stopTracking() {
        if (finished) {
            return;
        }
        finished = true;
        gateway.admission().rankGate().recordSettled(firstOutputWait);
        if (responseTimer != null) {
            responseTimer.cancel(false);
        }
        if (streaming) {
            server.recordStreamEnd();
        }
        if (prefillPending) {
            prefillPending = false;
            server.recordPrefill(route.priority(), decision.tokensToPrefill());
        }
        server.recordEnd(route.priority());
        gateway.placement().recordEnd(request, decision, gateway.nowMillis());
        if (events != null) {
            events.release();
        }
    }

    private void releaseBuffered() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
            releaseHeld();
        }
    }

    private void releaseHeld() {
        caller.releaseAnswer(heldBytes);
        heldBytes = 0;
    }
}
