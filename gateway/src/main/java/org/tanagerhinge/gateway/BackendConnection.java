package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.relay.ServerInstance;

/**
 * Carries requests, one at a time, over one connection to one instance of a backend server.
 *
 * <p>A response belongs to the request whose attempt id it names. A server may send a response twice, so a late
 * duplicate can arrive where the next response is expected; it is skipped. Bytes that arrive while no response is
 * expected close the connection.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 16_384;
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

    private final BackendConnectionPool pool;
    private final ServerInstance server;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private AttemptListener activeListener;
    private String attemptId = "";
    private ChannelFuture written;
    private boolean responding;
    private boolean skipping;
    private boolean broken;
    private boolean closeAfter;
    private boolean unframed;
    private boolean leaving;
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private long idleSinceMillis;

    BackendConnection(BackendConnectionPool pool, ServerInstance server) {
        this.pool = pool;
        this.server = server;
    }

    ServerInstance server() {
        return server;
    }

    void attach(Channel created) {
        channel = created;
        created.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
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
     * @param broken runs if the connection breaks before the response is complete
     */
    void detach(Runnable broken) {
        if (activeListener != null) {
            activeListener = new DiscardingListener(broken);
        }
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
        if (response.decoderResult().isFailure()
                || !"HTTP".equals(response.protocolVersion().protocolName())) {
            fail(AttemptFailure.BROKEN, "malformed HTTP response");
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
        leaving = metadata.leaving();
        readKeepAlive(response);
        activeListener.responseHead(response, metadata);
    }

    private void handleContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(AttemptFailure.BROKEN, "malformed response body");
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
            if (unframed && !channel.isActive()) {
                finishUnframed();
            } else {
                finish();
            }
        }
    }

    /**
     * Finishes a response that has ended with its connection. A crashing server closes its connections in the same way,
     * so the response counts as complete only if the server doesn't refuse another connection. One that is leaving may
     * end after its last response without a crash.
     */
    private void finishUnframed() {
        AttemptListener listener = activeListener;
        activeListener = null;
        if (leaving) {
            listener.responseCompleted();
            return;
        }
        pool.checkNotCrashed(server, running -> {
            if (running) {
                listener.responseCompleted();
            } else {
                listener.attemptFailed(AttemptFailure.BROKEN, "server crashed at the end of an unframed response");
            }
        });
    }

    private void finish() {
        AttemptListener listener = activeListener;
        activeListener = null;
        idleSinceMillis = pool.nowMillis();
        if (closeAfter || !written.isDone() || !channel.isActive()) {
            channel.close();
        } else {
            channel.config().setAutoRead(true);
            pool.release(this);
        }
        listener.responseCompleted();
    }

    private void readKeepAlive(HttpResponse response) {
        unframed = !hasBodyFraming(response);
        closeAfter = !HttpUtil.isKeepAlive(response) || unframed;
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

    private static boolean hasBodyFraming(HttpMessage message) {
        return HttpUtil.isTransferEncodingChunked(message)
                || message.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private void fail(AttemptFailure failure, String reason) {
        broken = true;
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

    /** Decodes responses; those to HEAD requests have no body. */
    private static final class ResponseDecoder extends HttpResponseDecoder {
        private boolean headOnly;

        ResponseDecoder() {
            super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        }

        void expect(HttpMethod method) {
            headOnly = HttpMethod.HEAD.equals(method);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return headOnly || super.isContentAlwaysEmpty(message);
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
