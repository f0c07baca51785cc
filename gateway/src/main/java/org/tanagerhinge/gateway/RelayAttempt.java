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
import org.tanagerhinge.core.attempt.AttemptEnd;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.RankGate;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.RouteKind;
import org.tanagerhinge.core.relay.ServerInstance;

/** One request at one backend server: sends it, and passes on what of the answer is whole and not yet known. */
final class RelayAttempt implements AttemptListener {
    /** Answers up to this size are held until they are whole, so that a broken one can be asked for again, in bytes. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /** A safe request that has no answer after this many times its target is tried elsewhere. */
    private static final int SILENCE_TIMEOUT_FACTOR = 3;
    /** Longest idle time of a connection for a request that can't be sent again if its close crosses it. */
    private static final long MAX_IDLE_NON_IDEMPOTENT_MILLIS = 1_500;

    private final Gateway gateway;
    private final RelayExchange exchange;
    private final CallerConnection caller;
    private final ResponseProgress progress;
    private final PlacementRequest request;
    private final Route route;
    private final PlacementPolicy.Decision placed;
    private final ServerInstance server;
    private final long startedAtMillis;
    private BackendConnection connection;
    private boolean sent;
    private boolean prefillPending = true;
    private boolean finished;
    private boolean retryBudgetTaken;
    private boolean streaming;
    private Future<?> silenceTimer;
    private RankGate.PendingRequest firstOutputWait;
    private HttpResponse response;
    private CompositeByteBuf buffered;
    private EventSplitter events;

    RelayAttempt(Gateway gateway, RelayExchange exchange, PlacementRequest request, PlacementPolicy.Decision placed) {
        this.gateway = gateway;
        this.exchange = exchange;
        this.caller = exchange.caller();
        this.progress = exchange.progress();
        this.request = request;
        this.route = request.route();
        this.placed = placed;
        this.server = placed.server();
        this.startedAtMillis = gateway.nowMillis();
    }

    ServerInstance server() {
        return server;
    }

    /** Returns when the attempt began, in milliseconds. */
    long startedAtMillis() {
        return startedAtMillis;
    }

    /** Returns whether the request was handed to a connection, so that it may be running. */
    boolean sent() {
        return sent;
    }

    /** Takes a kept connection, or makes one, and sends the request. */
    void start() {
        gateway.requestSent(request, placed);
        firstOutputWait = RankGate.PendingRequest.of(
                server.instanceId(), exchange.rank(), startedAtMillis + route.targetMillis());
        gateway.rankGate().recordSent(firstOutputWait);
        long maxIdleMillis = route.idempotent() ? Long.MAX_VALUE : MAX_IDLE_NON_IDEMPOTENT_MILLIS;
        BackendConnection pooled = gateway.pool().pollIdle(server, maxIdleMillis);
        if (pooled != null) {
            transmit(pooled);
            return;
        }
        gateway.pool().connect(server, fresh -> {
            if (finished) {
                if (fresh != null) {
                    gateway.pool().release(fresh);
                }
            } else if (fresh == null) {
                fail(AttemptEnd.NOT_SENT, "no connection");
            } else {
                transmit(fresh);
            }
        });
    }

    private void transmit(BackendConnection ready) {
        connection = ready;
        sent = true;
        connection.setReading(caller.writable());
        connection.send(exchange.backendRequest(placed), exchange.attemptId(), this);
        if (route.kind() == RouteKind.SAFE && route.targetMillis() > 0) {
            silenceTimer = gateway.schedule(this::responseTimedOut, SILENCE_TIMEOUT_FACTOR * route.targetMillis());
        }
    }

    /** The server has said nothing for so long that another one is the better choice. */
    private void responseTimedOut() {
        if (!finished && response == null && exchange.takeRetryBudget()) {
            retryBudgetTaken = true;
            connection.abort();
            fail(AttemptEnd.SILENT, "no answer in time");
        }
    }

    /** Leaves a server that owes events of a stream and has said nothing for longer than a time. */
    void abandonIfSilent(long silentMillis) {
        if (streaming && server.silenceMillis(gateway.nowMillis()) > silentMillis) {
            connection.abort();
            fail(AttemptEnd.SILENT, "server fell silent");
        }
    }

    /** The caller reads again, or has stopped reading. */
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
            failKeepingConnection(AttemptEnd.WRONG_SERVER, "another server has the address");
        } else if (metadata.notExecuted()) {
            failKeepingConnection(AttemptEnd.NOT_RUN, "server refused with " + status);
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
            fail(AttemptEnd.BROKEN, "answer without signature or with a coding");
        } else if (status >= 500 && progress.headForwarded()) {
            failKeepingConnection(AttemptEnd.SERVER_ERROR, "server answered " + status);
        } else if (status >= 500 && exchange.takeRetryBudget()) {
            retryBudgetTaken = true;
            failKeepingConnection(AttemptEnd.SERVER_ERROR, "server answered " + status);
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
            fail(AttemptEnd.CUT, "server answered " + status + " to a resume");
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
            buffered.addComponent(true, bytes.retain());
            if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
                forwardHead();
                caller.writeChunk(buffered);
                buffered = null;
            }
        }
    }

    private void forwardEvents(ByteBuf bytes) {
        long nowMillis = gateway.nowMillis();
        server.recordReceived(nowMillis);
        for (EventSplitter.Event event : events.feed(bytes)) {
            noteFirstOutput();
            if (finished || progress.alreadyForwarded(event.id())) {
                event.bytes().release();
                continue;
            }
            if (!progress.headForwarded()) {
                forwardHead();
            }
            progress.forwarded(event.id(), nowMillis);
            caller.writeChunk(event.bytes());
        }
        if (!finished && events.oversized()) {
            connection.abort();
            fail(AttemptEnd.BROKEN, "event without an end");
        }
    }

    private void forwardHead() {
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
        if (events != null && events.hasPartialEvent()) {
            fail(progress.headForwarded() ? AttemptEnd.CUT : AttemptEnd.BROKEN, "stream ended within an event");
            return;
        }
        release();
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
        if (!exchange.method().equals(HttpMethod.HEAD)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, buffered.readableBytes());
        }
        ByteBuf body = buffered;
        buffered = null;
        exchange.responseCompleted(response.status().code(), server);
        caller.writeResponse(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, response.status(), body, headers, EmptyHttpHeaders.INSTANCE));
    }

    @Override
    public void attemptFailed(AttemptEnd end, String reason) {
        fail(progress.headForwarded() && end == AttemptEnd.BROKEN ? AttemptEnd.CUT : end, reason);
    }

    /** Leaves the rest of an answer that isn't wanted to the connection, which stays of use. */
    private void failKeepingConnection(AttemptEnd end, String reason) {
        connection.detach(() -> {});
        fail(end, reason);
    }

    private void fail(AttemptEnd end, String reason) {
        if (finished) {
            return;
        }
        release();
        releaseBuffered();
        exchange.attemptFailed(this, end, reason, retryBudgetTaken);
    }

    /** Stops the attempt because nobody waits for it any more. */
    void cancel() {
        release();
        releaseBuffered();
        if (connection == null) {
            return;
        }
        if (route.kind() == RouteKind.UNSAFE) {
            RequestFingerprint fingerprint = exchange.fingerprint();
            connection.detach(() -> gateway.crashDetector().connectionBroke(server, fingerprint));
            connection.setReading(true);
        } else {
            connection.abort();
        }
    }

    private void noteFirstOutput() {
        if (!streaming) {
            streaming = true;
            exchange.markExecutionStarted();
            server.recordStreamStart();
            gateway.rankGate().recordSettled(firstOutputWait);
        }
        if (prefillPending) {
            prefillPending = false;
            server.recordPrefill(placed.tokensToPrefill());
            gateway.placement().recordPrefill(request, placed, gateway.nowMillis() - startedAtMillis);
        }
    }

    private void release() {
        if (finished) {
            return;
        }
        finished = true;
        gateway.rankGate().recordSettled(firstOutputWait);
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        if (streaming) {
            server.recordStreamEnd();
        }
        if (prefillPending) {
            prefillPending = false;
            server.recordPrefill(placed.tokensToPrefill());
        }
        server.recordEnd();
        gateway.placement().recordEnd(request, placed, gateway.nowMillis());
        if (events != null) {
            events.release();
        }
    }

    private void releaseBuffered() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }
}
