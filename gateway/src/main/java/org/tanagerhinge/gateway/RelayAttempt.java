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
    private static final int MOST_HELD = 256 * 1024;
    /** A safe request that has no answer after this many times its target is tried elsewhere. */
    private static final int PATIENCE = 3;
    /** Longest idle time of a connection for a request that can't be sent again if its close crosses it. */
    private static final long FRESH_MILLIS = 1_500;

    private final Gateway gateway;
    private final RelayExchange exchange;
    private final CallerConnection caller;
    private final AnswerProgress progress;
    private final PlacementRequest request;
    private final Route route;
    private final PlacementPolicy.Decision placed;
    private final ServerInstance server;
    private final long began;
    private BackendConnection connection;
    private boolean sent;
    private boolean reading = true;
    private boolean done;
    private boolean paid;
    private boolean streaming;
    private Future<?> patience;
    private RankGate.PendingRequest waiting;
    private HttpResponse answer;
    private CompositeByteBuf held;
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
        this.began = gateway.now();
    }

    ServerInstance server() {
        return server;
    }

    /** Returns when the attempt began, in milliseconds. */
    long began() {
        return began;
    }

    /** Returns whether the request was handed to a connection, so that it may be running. */
    boolean sent() {
        return sent;
    }

    /** Takes a kept connection, or makes one, and sends the request. */
    void start() {
        gateway.sent(request, placed);
        waiting = RankGate.PendingRequest.of(server.instanceId(), exchange.rank(), began + route.targetMillis());
        gateway.ranks().recordSent(waiting);
        long mostIdle = route.idempotent() ? Long.MAX_VALUE : FRESH_MILLIS;
        BackendConnection kept = gateway.pool().kept(server, mostIdle);
        if (kept != null) {
            transmit(kept);
            return;
        }
        gateway.pool().connect(server, fresh -> {
            if (done) {
                if (fresh != null) {
                    gateway.pool().idle(fresh);
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
        connection.reading(caller.writable());
        connection.send(exchange.requestTo(placed), exchange.attemptId(), this);
        if (route.kind() == RouteKind.SAFE && route.targetMillis() > 0) {
            patience = gateway.schedule(this::tooSilent, PATIENCE * route.targetMillis());
        }
    }

    /** The server has said nothing for so long that another one is the better choice. */
    private void tooSilent() {
        if (!done && answer == null && exchange.payForRepeat()) {
            paid = true;
            connection.abort();
            fail(AttemptEnd.SILENT, "no answer in time");
        }
    }

    /** Leaves a server that owes events of a stream and has said nothing for longer than a time. */
    void leaveIfSilent(long silentMillis) {
        if (streaming && server.silenceMillis(gateway.now()) > silentMillis) {
            connection.abort();
            fail(AttemptEnd.SILENT, "server fell silent");
        }
    }

    /** The caller reads again, or has stopped reading. */
    void callerWritable(boolean writable) {
        if (connection != null) {
            connection.reading(writable);
        }
    }

    @Override
    public void head(HttpResponse response, AnswerTerms answerTerms) {
        int status = response.status().code();
        server.recordReceived(gateway.now());
        answerTerms.load().ifPresent(load -> gateway.load(server, load));
        if (status == 421) {
            gateway.replaced(server);
            leave(AttemptEnd.WRONG_SERVER, "another server has the address");
        } else if (answerTerms.notRun()) {
            leave(AttemptEnd.NOT_RUN, "server refused with " + status);
        } else {
            answered(response, answerTerms);
        }
    }

    private void answered(HttpResponse response, AnswerTerms answerTerms) {
        int status = response.status().code();
        if (route.kind() != RouteKind.STREAM || status != HttpResponseStatus.OK.code()) {
            exchange.serverBegan();
        }
        if (!usable(response, answerTerms)) {
            connection.abort();
            fail(AttemptEnd.BROKEN, "answer without signature or with a coding");
        } else if (status >= 500 && progress.headPassed()) {
            leave(AttemptEnd.SERVER_ERROR, "server answered " + status);
        } else if (status >= 500 && exchange.payForRepeat()) {
            paid = true;
            leave(AttemptEnd.SERVER_ERROR, "server answered " + status);
        } else {
            begin(response, answerTerms);
        }
    }

    private static boolean usable(HttpResponse response, AnswerTerms answerTerms) {
        return answerTerms.sealed() && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    private void begin(HttpResponse response, AnswerTerms answerTerms) {
        int status = response.status().code();
        answer = response;
        if (route.kind() == RouteKind.STREAM && status == 200) {
            events = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
            progress.begunWith(answerTerms.weightsVersion());
            return;
        }
        if (progress.headPassed()) {
            connection.abort();
            fail(AttemptEnd.CUT, "server answered " + status + " to a resume");
            return;
        }
        held = Unpooled.compositeBuffer(64);
    }

    @Override
    public void body(ByteBuf bytes) {
        if (events != null) {
            stream(bytes);
        } else if (held == null) {
            caller.writePiece(bytes.retain());
        } else {
            held.addComponent(true, bytes.retain());
            if (held.readableBytes() > MOST_HELD) {
                passHead();
                caller.writePiece(held);
                held = null;
            }
        }
    }

    private void stream(ByteBuf bytes) {
        long now = gateway.now();
        server.recordReceived(now);
        for (EventSplitter.Event event : events.feed(bytes)) {
            noteRead();
            if (done || progress.knows(event.id())) {
                event.bytes().release();
                continue;
            }
            if (!progress.headPassed()) {
                passHead();
            }
            progress.passed(event.id(), now);
            caller.writePiece(event.bytes());
        }
        if (!done && events.oversized()) {
            connection.abort();
            fail(AttemptEnd.BROKEN, "event without an end");
        }
    }

    private void passHead() {
        HttpHeaders headers = answer.headers().copy();
        HopHeaders.remove(headers);
        if (events != null || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        progress.passedHead();
        caller.writeHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers));
    }

    @Override
    public void ended() {
        if (events != null && events.partial()) {
            fail(progress.headPassed() ? AttemptEnd.CUT : AttemptEnd.BROKEN, "stream ended within an event");
            return;
        }
        settle();
        if (events == null && held != null) {
            writeHeld();
            return;
        }
        if (!progress.headPassed()) {
            passHead();
        }
        exchange.answered(answer.status().code(), server);
        caller.writeEnd();
    }

    private void writeHeld() {
        HttpHeaders headers = answer.headers().copy();
        HopHeaders.remove(headers);
        if (!exchange.method().equals(HttpMethod.HEAD)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, held.readableBytes());
        }
        ByteBuf whole = held;
        held = null;
        exchange.answered(answer.status().code(), server);
        caller.writeWhole(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, answer.status(), whole, headers, EmptyHttpHeaders.INSTANCE));
    }

    @Override
    public void failed(AttemptEnd end, String why) {
        fail(progress.headPassed() && end == AttemptEnd.BROKEN ? AttemptEnd.CUT : end, why);
    }

    /** Leaves the rest of an answer that isn't wanted to the connection, which stays of use. */
    private void leave(AttemptEnd end, String why) {
        connection.detach(() -> {});
        fail(end, why);
    }

    private void fail(AttemptEnd end, String why) {
        if (done) {
            return;
        }
        settle();
        releaseHeld();
        exchange.attemptFailed(this, end, why, paid);
    }

    /** Stops the attempt because nobody waits for it any more. */
    void drop() {
        settle();
        releaseHeld();
        if (connection == null) {
            return;
        }
        if (route.kind() == RouteKind.UNSAFE) {
            RequestFingerprint fingerprint = exchange.fingerprint();
            connection.detach(() -> gateway.endedServers().brokeUnder(server, fingerprint));
            connection.reading(true);
        } else {
            connection.abort();
        }
    }

    private void noteRead() {
        if (!streaming) {
            streaming = true;
            exchange.serverBegan();
            server.recordStreamStart();
            gateway.ranks().recordSettled(waiting);
        }
        if (reading) {
            reading = false;
            server.recordPrefill(placed.tokensToPrefill());
            gateway.placement().recordPrefill(request, placed, gateway.now() - began);
        }
    }

    private void settle() {
        if (done) {
            return;
        }
        done = true;
        gateway.ranks().recordSettled(waiting);
        if (patience != null) {
            patience.cancel(false);
        }
        if (streaming) {
            server.recordStreamEnd();
        }
        if (reading) {
            reading = false;
            server.recordPrefill(placed.tokensToPrefill());
        }
        server.recordEnd();
        gateway.placement().recordEnd(request, placed, gateway.now());
        if (events != null) {
            events.release();
        }
    }

    private void releaseHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
    }
}
