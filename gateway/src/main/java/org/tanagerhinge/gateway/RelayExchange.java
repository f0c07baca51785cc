package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.tanagerhinge.core.relay.AttemptEnd;
import org.tanagerhinge.core.relay.Placement;
import org.tanagerhinge.core.relay.PlacementRequest;
import org.tanagerhinge.core.relay.RankGate;
import org.tanagerhinge.core.relay.RelayConfig;
import org.tanagerhinge.core.relay.RelayServer;
import org.tanagerhinge.core.relay.RetryRules;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.RouteKind;
import org.tanagerhinge.core.relay.WorkspaceTerms;
import org.tanagerhinge.core.result.ResultCode;

/** One request of a caller, from its last byte to the last byte of its answer. */
final class RelayExchange {
    /** Answers up to this size are held until they are whole, so that a broken one can be asked for again, in bytes. */
    private static final int MOST_HELD = 256 * 1024;
    /**
     * How long a request waits for a gateway that has just started to learn its configuration: that takes a tenth of a
     * second, and a caller that is sent away comes back later than that.
     */
    private static final long START_MILLIS = 400;
    /** A safe request that has no answer after this many times its target is tried elsewhere. */
    private static final int PATIENCE = 3;
    /** Longest idle time of a connection for a request that can't be sent again if its close crosses it. */
    private static final long FRESH_MILLIS = 1_500;

    private final Gateway gateway;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final long arrived;
    private final CallerTerms terms;
    private final Set<String> tried = new HashSet<>();
    private RelayConfig config;
    private Route route;
    private String service;
    private Optional<WorkspaceTerms> workspace = Optional.empty();
    private long giveUpAt;
    private Future<?> timer;
    private Attempt attempt;
    private int sends;
    private int runs;
    private boolean headPassed;
    private boolean over;
    private long lastEvent;
    private boolean eventsPassed;
    private Optional<String> weightsVersion = Optional.empty();

    private RelayExchange(Gateway gateway, CallerConnection caller, HttpRequest head, ByteBuf body, long arrived) {
        this.gateway = gateway;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.arrived = arrived;
        this.terms = gateway.dialect().callerTerms(head);
        this.lastEvent = terms.lastEventId();
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
        if (workspace.isEmpty() && !route.open() && config.keysNeeded()) {
            refuse(Refusal.of(401, ResultCode.UNKNOWN_KEY));
            return;
        }
        long patience = Math.min(terms.patienceMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        giveUpAt = arrived + patience;
        timer = gateway.schedule(this::giveUp, Math.max(1, giveUpAt - gateway.now()));
        service = route.service(terms.attemptId().hashCode());
        gateway.budget().request(service, gateway.now());
        send();
    }

    private void send() {
        long now = gateway.now();
        List<RelayServer> candidates = gateway.candidates(service, tried, now);
        PlacementRequest request =
                new PlacementRequest(route, config.service(service), terms.prompt(), gateway.domain());
        Optional<Placement.Placed> placed = gateway.placement().place(request, candidates, now);
        if (placed.isEmpty()) {
            noServer();
            return;
        }
        if (sends == 0 && gateway.ranks().yields(rank(), placed.get().server().id(), now)) {
            refuse(Refusal.notRun(ResultCode.QUEUE_FULL, gateway.comeBackMillis()));
            return;
        }
        tried.add(placed.get().server().id());
        sends++;
        attempt = new Attempt(request, placed.get());
        attempt.start();
    }

    private void noServer() {
        if (headPassed) {
            cut("no server to go on at");
        } else if (runs > 0) {
            refuse(Refusal.of(502, ResultCode.CONNECTION_LOST));
        } else {
            refuse(Refusal.notRun(ResultCode.NO_SERVER, gateway.comeBackMillis()));
        }
    }

    private int rank() {
        return config.rank(workspace, route);
    }

    private FullHttpRequest requestTo(RelayServer server) {
        HttpHeaders headers = head.headers().copy();
        HopHeaders.remove(headers);
        gateway.dialect()
                .prepare(
                        headers,
                        new SendTerms(
                                server.id(),
                                Math.max(1, giveUpAt - gateway.now()),
                                workspace.map(WorkspaceTerms::name),
                                rank(),
                                eventsPassed ? OptionalLong.of(lastEvent) : OptionalLong.empty(),
                                weightsVersion));
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

    private void attemptFailed(Attempt ended, AttemptEnd end, String why, boolean paid) {
        long now = gateway.now();
        if (end.mayHaveRun()) {
            runs++;
        }
        gateway.attemptFailed(route, ended.server, end, why);
        attempt = null;
        boolean repeat = RetryRules.mayRepeat(route, end, runs, sends, giveUpAt - now)
                && (!headPassed || route.resumable())
                && (paid || !end.arrived() || gateway.budget().take(service, now));
        if (repeat) {
            gateway.count(headPassed ? "resumed" : "repeated");
            send();
            return;
        }
        giveUpAfter(end, why);
    }

    private void giveUpAfter(AttemptEnd end, String why) {
        if (headPassed) {
            cut(why);
        } else if (end == AttemptEnd.SERVER_ERROR || runs > 0) {
            refuse(Refusal.of(502, ResultCode.CONNECTION_LOST));
        } else {
            refuse(Refusal.notRun(ResultCode.NO_SERVER, gateway.comeBackMillis()));
        }
    }

    private void giveUp() {
        if (over) {
            return;
        }
        gateway.count("given_up");
        boolean sent = attempt != null && attempt.sent;
        if (attempt != null) {
            attempt.drop();
            attempt = null;
        }
        if (headPassed) {
            cut("time is up");
        } else if (sent || runs > 0) {
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
        gateway.count("caller_gone");
        if (attempt != null) {
            attempt.drop();
            attempt = null;
        }
        end();
    }

    /** Goes on elsewhere if the server of a stream that can be resumed has fallen silent. */
    void leaveSilentServer(long silentMillis) {
        if (attempt != null
                && attempt.streaming
                && route.resumable()
                && attempt.server.silentFor(gateway.now()) > silentMillis) {
            attempt.connection.abort();
            attempt.fail(AttemptEnd.SILENT, "server fell silent");
        }
    }

    /** The caller reads again, or has stopped reading. */
    void callerWritable(boolean writable) {
        if (attempt != null && attempt.connection != null) {
            attempt.connection.reading(writable);
        }
    }

    /** Ends the exchange at the bound of a planned stop. */
    void stopNow() {
        if (!over) {
            giveUp();
        }
    }

    private void refuse(Refusal refusal) {
        end();
        caller.refuse(refusal);
    }

    private void cut(String why) {
        gateway.count("answer_cut");
        gateway.logCut(terms.attemptId(), route, why);
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

    /** The request at one backend server. */
    private final class Attempt implements AttemptListener {
        private final PlacementRequest request;
        private final Placement.Placed placed;
        private final RelayServer server;
        private final long began = gateway.now();
        private BackendConnection connection;
        private boolean sent;
        private boolean reading = true;
        private boolean done;
        private boolean paid;
        private boolean streaming;
        private Future<?> patience;
        private RankGate.Waiting waiting;
        private HttpResponse answer;
        private CompositeByteBuf held;
        private EventSplitter events;

        Attempt(PlacementRequest request, Placement.Placed placed) {
            this.request = request;
            this.placed = placed;
            this.server = placed.server();
        }

        void start() {
            gateway.sent(request, placed);
            waiting = gateway.waiting(server, rank(), began + route.targetMillis());
            gateway.ranks().sent(waiting);
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
            connection.send(requestTo(server), terms.attemptId(), this);
            if (route.kind() == RouteKind.SAFE && route.targetMillis() > 0) {
                patience = gateway.schedule(this::tooSilent, PATIENCE * route.targetMillis());
            }
        }

        /** The server has said nothing for so long that another one is the better choice. */
        private void tooSilent() {
            boolean mayRepeat =
                    RetryRules.mayRepeat(route, AttemptEnd.SILENT, runs + 1, sends, giveUpAt - gateway.now());
            if (!done && answer == null && mayRepeat && gateway.budget().take(service, gateway.now())) {
                paid = true;
                connection.abort();
                fail(AttemptEnd.SILENT, "no answer in time");
            }
        }

        @Override
        public void head(HttpResponse response, AnswerTerms answerTerms) {
            server.heard(gateway.now());
            answerTerms.load().ifPresent(load -> gateway.load(server, load));
            if (response.status().code() == 421) {
                gateway.replaced(server);
                leave(AttemptEnd.WRONG_SERVER, "another server has the address");
            } else if (answerTerms.notRun()) {
                leave(
                        AttemptEnd.NOT_RUN,
                        "server refused with " + response.status().code());
            } else if (!usable(response, answerTerms)) {
                connection.abort();
                fail(AttemptEnd.BROKEN, "answer without signature or with a coding");
            } else if (response.status().code() >= 500 && (headPassed || repeatAfterError())) {
                paid = !headPassed;
                leave(
                        AttemptEnd.SERVER_ERROR,
                        "server answered " + response.status().code());
            } else {
                begin(response, answerTerms);
            }
        }

        private boolean usable(HttpResponse response, AnswerTerms answerTerms) {
            return answerTerms.sealed() && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        }

        /** A server's own error is passed on as it is unless the request may be sent once more. */
        private boolean repeatAfterError() {
            long now = gateway.now();
            return RetryRules.mayRepeat(route, AttemptEnd.SERVER_ERROR, runs + 1, sends, giveUpAt - now)
                    && gateway.budget().take(service, now);
        }

        private void begin(HttpResponse response, AnswerTerms answerTerms) {
            int status = response.status().code();
            answer = response;
            if (route.kind() == RouteKind.STREAM && status == 200) {
                events = new EventSplitter(io.netty.buffer.UnpooledByteBufAllocator.DEFAULT);
                if (weightsVersion.isEmpty()) {
                    weightsVersion = answerTerms.weightsVersion();
                }
                return;
            }
            if (headPassed) {
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
            server.heard(gateway.now());
            for (EventSplitter.Event event : events.feed(bytes)) {
                noteRead();
                if (done || (event.id() >= 0 && event.id() <= lastEvent)) {
                    event.bytes().release();
                    continue;
                }
                if (!headPassed) {
                    passHead();
                }
                if (event.id() >= 0) {
                    lastEvent = event.id();
                    eventsPassed = true;
                }
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
            headPassed = true;
            caller.writeHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers));
        }

        @Override
        public void ended() {
            if (events != null && events.partial()) {
                fail(headPassed ? AttemptEnd.CUT : AttemptEnd.BROKEN, "stream ended within an event");
                return;
            }
            settle();
            gateway.answered(route, server, answer.status().code(), gateway.now() - arrived);
            if (events == null && held != null) {
                writeHeld();
                return;
            }
            if (!headPassed) {
                passHead();
            }
            attempt = null;
            end();
            caller.writeEnd();
        }

        private void writeHeld() {
            HttpHeaders headers = answer.headers().copy();
            HopHeaders.remove(headers);
            if (!head.method().equals(HttpMethod.HEAD)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, held.readableBytes());
            }
            ByteBuf whole = held;
            held = null;
            attempt = null;
            end();
            caller.writeWhole(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, answer.status(), whole, headers, EmptyHttpHeaders.INSTANCE));
        }

        @Override
        public void failed(AttemptEnd end, String why) {
            fail(headPassed && end == AttemptEnd.BROKEN ? AttemptEnd.CUT : end, why);
        }

        /** Leaves the rest of an answer that isn't wanted to the connection, which stays of use. */
        private void leave(AttemptEnd end, String why) {
            connection.detach();
            fail(end, why);
        }

        private void fail(AttemptEnd end, String why) {
            if (done) {
                return;
            }
            settle();
            releaseHeld();
            attemptFailed(this, end, why, paid);
        }

        /** Stops the attempt because nobody waits for it any more. */
        void drop() {
            settle();
            releaseHeld();
            if (connection == null) {
                return;
            }
            if (route.kind() == RouteKind.UNSAFE) {
                connection.detach();
                connection.reading(true);
            } else {
                connection.abort();
            }
        }

        private void noteRead() {
            if (!streaming) {
                streaming = true;
                server.streamBegan();
                gateway.ranks().settled(waiting);
            }
            if (reading) {
                reading = false;
                server.read(placed.tokensToRead());
                gateway.placement().read(placed.tokensToRead(), gateway.now() - began);
            }
        }

        private void settle() {
            if (done) {
                return;
            }
            done = true;
            gateway.ranks().settled(waiting);
            if (patience != null) {
                patience.cancel(false);
            }
            if (streaming) {
                server.streamEnded();
            }
            if (reading) {
                reading = false;
                server.read(placed.tokensToRead());
            }
            server.ended();
            gateway.placement().ended(request, placed, gateway.now());
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
}
