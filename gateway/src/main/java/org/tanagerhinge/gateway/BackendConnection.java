package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.core.relay.ServerInstance;
import org.tanagerhinge.node.http.ResponseDecoder;
import org.tanagerhinge.node.http.ResponseFraming;

/**
 * Carries requests, one at a time, over one connection to one instance of a backend server.
 *
 * <p>A response belongs to the request whose attempt id it names. A server may send a response twice, so a late
 * duplicate can arrive where the next response is expected; it is skipped. Bytes that arrive while no response is
 * expected close the connection, also if they are no complete message. A server may send bytes without end: what comes
 * before a response, and what is discarded, is bounded, and a response is forwarded no faster than its caller reads. What
 * is kept of responses that are not complete is bounded over all connections.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter implements MemoryBound.Holder {
    private static final int MAX_HEADER_BYTES = 65_536;
    /**
     * HTTP status of an address that now belongs to another server instance; its announcements are not about this one.
     */
    private static final int MISDIRECTED_REQUEST = 421;
    /** Idle time after which a server is assumed to close a connection if it announces none. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;
    /**
     * Share of the server's idle timeout up to which a connection is reused, so that its close does not cross a
     * request.
     */
    private static final double REUSABLE_IDLE_SHARE = 0.6;

    /** Limit of what a server may send before the head of a response: informational and late responses. */
    private static final int MAX_BYTES_BEFORE_RESPONSE = 2 << 20;
    /** Limit of a response that nobody waits for; opening another connection is cheaper than reading more. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final BackendConnectionPool pool;
    private final ServerInstance server;
    private final MemoryBound.Share share;
    private final ResponseDecoder decoder = new ResponseDecoder(MAX_HEADER_BYTES);
    private Channel channel;
    private AttemptListener activeListener;
    private String attemptId = "";
    private ChannelFuture written;
    private boolean responding;
    private boolean skipping;
    private boolean broken;
    private boolean closeAfter;
    /** Whether a response has ended with the connection, and whether it is whole is not known yet. */
    private boolean endPending;

    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private long idleSinceMillis;
    private long sentAtMillis;
    private long bytesBeforeResponse;
    private long discardedBytes;
    private Future<?> discardTimer;

    BackendConnection(BackendConnectionPool pool, ServerInstance server) {
        this.pool = pool;
        this.server = server;
        this.share = pool.memory().open(this);
    }

    ServerInstance server() {
        return server;
    }

    void attach(Channel created) {
        channel = created;
        created.pipeline().addLast(new HttpRequestEncoder(), new ByteLimiter(), decoder, this);
    }

    Channel channel() {
        return channel;
    }

    /** Returns whether this connection is open, unused and not idle for too long to carry another request. */
    boolean reusable(long nowMillis, long maxIdleMillis) {
        return channel.isActive()
                && activeListener == null
                && nowMillis - idleSinceMillis
                        < Math.min(maxIdleMillis, (long) (REUSABLE_IDLE_SHARE * idleTimeoutMillis));
    }

    /** Sends a request; its response goes to {@code listener}. */
    void send(FullHttpRequest request, String id, AttemptListener listener) {
        activeListener = listener;
        attemptId = id;
        responding = false;
        skipping = false;
        closeAfter = false;
        bytesBeforeResponse = 0;
        sentAtMillis = pool.nowMillis();
        decoder.expect(request.method());
        written = channel.writeAndFlush(request);
    }

    /** Closes the connection without notifying the listener. */
    void abort() {
        activeListener = null;
        channel.close();
    }

    /**
     * Lets the server finish the request and discards its response.
     *
     * @param limit time after which the connection is closed although the response is not complete
     * @param broken runs if the connection breaks before the response is complete
     */
    void detach(Duration limit, Runnable broken) {
        if (activeListener == null) {
            return;
        }
        activeListener = new DiscardingListener(broken);
        discardedBytes = 0;
        discardTimer = channel.eventLoop().schedule(this::abort, limit.toMillis(), TimeUnit.MILLISECONDS);
        setReading(true);
    }

    private boolean discarding() {
        return activeListener instanceof DiscardingListener;
    }

    /** Enables or disables reading, so that a slow caller does not make responses pile up in memory. */
    void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (broken) {
                return;
            }
            if (activeListener == null) {
                channel.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                handleHead(response);
            }
            if (message instanceof HttpContent content && !broken) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            failUndecodable(response);
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        BackendResponseMetadata metadata = pool.dialect().responseMetadata(response);
        if (response.status().code() != MISDIRECTED_REQUEST) {
            pool.responseReceived(server, response.status().code(), metadata);
        }
        if (!metadata.attemptId().isEmpty() && !metadata.attemptId().equals(attemptId)) {
            pool.count("answer_of_another_request");
            skipping = true;
            return;
        }
        boolean refusal = metadata.notExecuted() || response.status().code() == MISDIRECTED_REQUEST;
        if (metadata.attemptId().isEmpty() && !refusal) {
            fail(AttemptFailure.BROKEN, "response has no attempt id");
            return;
        }
        skipping = false;
        responding = true;
        readKeepAlive(response);
        activeListener.responseHead(response, metadata);
    }

    private void failUndecodable(HttpObject object) {
        Throwable cause = object.decoderResult().cause();
        if (cause instanceof PrematureChannelClosureException) {
            fail(AttemptFailure.BROKEN, "connection ended within the response: " + cause.getMessage());
        } else {
            fail(AttemptFailure.MALFORMED, "malformed HTTP response: " + cause.getMessage());
        }
    }

    private void handleContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            failUndecodable(content);
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (!responding || activeListener == null) {
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            activeListener.responseBody(bytes);
        }
        if (last && activeListener != null) {
            if (decoder.framing() == ResponseFraming.CONNECTION_END) {
                connectionEnded();
            } else {
                finish();
            }
        }
    }

    /** Finishes a response that has ended with its connection, if it is whole. */
    private void connectionEnded() {
        if (!written.isSuccess()) {
            fail(AttemptFailure.BROKEN, "connection ended before the request was written");
            return;
        }
        AttemptListener listener = activeListener;
        activeListener = null;
        endPending = true;
        share.resize(0);
        cancelDiscardTimer();
        pool.livenessCheck().check(server, verdict -> {
            boolean cut = wasCut();
            channel.close();
            if (verdict == ServerLivenessCheck.Verdict.RUNNING && !cut) {
                listener.responseCompleted();
            } else {
                pool.count("unframed_answer_cut");
                listener.attemptFailed(
                        AttemptFailure.BROKEN,
                        "response without framing ended, and its "
                                + (cut
                                        ? "connection was reset or has not taken the request"
                                        : "server is " + verdict.name().toLowerCase(Locale.ROOT)));
            }
        });
    }

    /** Returns whether the server has ended the connection with a part of the request unread, after it had ended its response. */
    private boolean wasCut() {
        try {
            return ((CutDetectingChannel) channel).wasCut();
        } catch (IOException e) {
            TaskFailure.log("check for a cut of the connection to " + server.id(), e);
            return true;
        }
    }

    /** Closes the connection once the server has ended its direction, unless it is still to be seen how it ended. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !endPending) {
            channel.close();
        }
    }

    private void finish() {
        AttemptListener listener = activeListener;
        activeListener = null;
        cancelDiscardTimer();
        idleSinceMillis = pool.nowMillis();
        share.resize(0);
        if (closeAfter || !written.isDone() || !channel.isActive() || decoder.hasUnreadBytes()) {
            channel.close();
        } else {
            channel.config().setAutoRead(true);
            pool.release(this);
        }
        listener.responseCompleted();
    }

    private void cancelDiscardTimer() {
        if (discardTimer != null) {
            discardTimer.cancel(false);
            discardTimer = null;
        }
    }

    private void readKeepAlive(HttpResponse response) {
        closeAfter = !HttpUtil.isKeepAlive(response) || decoder.framing() == ResponseFraming.CONNECTION_END;
        String line = response.headers().get("Keep-Alive");
        int at = line == null ? -1 : line.indexOf("timeout=");
        if (at < 0) {
            return;
        }
        int end = at + "timeout=".length();
        int from = end;
        while (end < line.length() && Character.isDigit(line.charAt(end))) {
            end++;
        }
        if (end > from && end - from < 7) {
            idleTimeoutMillis = 1000L * Integer.parseInt(line.substring(from, end));
        }
    }

    private void fail(AttemptFailure failure, String reason) {
        broken = true;
        share.resize(0);
        AttemptListener listener = activeListener;
        activeListener = null;
        channel.close();
        if (listener != null) {
            listener.attemptFailed(failure, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(AttemptFailure.BROKEN, "connection failed: " + cause.getMessage());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.connectionClosed(this);
        fail(AttemptFailure.BROKEN, "connection closed");
    }

    // ---- memory

    /** Ends the connection's share of the memory for responses. */
    void releaseMemory() {
        share.close();
    }

    private void hold() {
        if (activeListener == null) {
            return;
        }
        long held = decoder.heldBytes() + activeListener.heldBytes();
        if (held != share.bytes() && !share.tryResize(held)) {
            evict();
        }
    }

    @Override
    public long evictableBytes() {
        return activeListener == null ? 0 : share.bytes();
    }

    @Override
    public long evictableSinceMillis() {
        return sentAtMillis;
    }

    @Override
    public void evict() {
        pool.count("answer_memory_full");
        fail(AttemptFailure.BROKEN, "response takes memory that others need");
    }

    /** Ends connections on which a server sends too much of what belongs to no response. */
    private final class ByteLimiter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!accepts((ByteBuf) message)) {
                ReferenceCountUtil.release(message);
                return;
            }
            context.fireChannelRead(message);
            hold();
        }

        private boolean accepts(ByteBuf received) {
            int bytes = received.readableBytes();
            if (activeListener == null) {
                channel.close();
                return false;
            }
            if (discarding()) {
                discardedBytes += bytes;
                if (discardedBytes > MAX_DISCARDED_BYTES) {
                    pool.count("discarded_answer_too_long");
                    abort();
                    return false;
                }
            } else if (!responding) {
                bytesBeforeResponse += bytes;
                if (bytesBeforeResponse > MAX_BYTES_BEFORE_RESPONSE) {
                    pool.count("no_answer_in_bytes");
                    fail(AttemptFailure.BROKEN, "no response within " + MAX_BYTES_BEFORE_RESPONSE + " bytes");
                    return false;
                }
            }
            return true;
        }
    }

    /** Discards a response that is no longer needed. */
    private record DiscardingListener(Runnable broken) implements AttemptListener {
        @Override
        public void responseHead(HttpResponse response, BackendResponseMetadata metadata) {}

        @Override
        public void responseBody(ByteBuf bytes) {}

        @Override
        public void responseCompleted() {}

        @Override
        public void attemptFailed(AttemptFailure failure, String reason) {
            broken.run();
        }
    }
}
