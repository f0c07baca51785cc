package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.tanagerhinge.core.memory.HeadMemory;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.result.ResultCode;

/** Reads the requests of one caller connection, one after the other, and writes their responses. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements MemoryBound.Holder {
    /** Bytes that wait to be decoded, behind a running request or for a turn; beyond them, reading pauses. */
    private static final int MAX_UNDECODED_BYTES = 8_192;
    /** Receive buffer of the kernel, which may fill up while reading pauses. */
    static final int RECEIVE_BUFFER_BYTES = 65_536;
    /** The configured limit may be reached by the request line and by the headers, each. */
    private static final long HEAD_PARTS = 2;

    /** Time that a caller has to close its side after the last response. */
    private static final long LINGER_MILLIS = 1_000;
    /**
     * Time that a caller has during a graceful stop to read its last response and to close its side. What the kernel
     * still holds may be lost when the process ends.
     */
    private static final long STOP_LINGER_MILLIS = 3_000;
    /** Time that a caller has for its next request on a connection that it was told to keep, during a graceful stop. */
    private static final long STOP_IDLE_MILLIS = 500;
    /** Maximum size of a chunk's frame: its length in hexadecimal digits and two line breaks. */
    private static final int CHUNK_FRAME_BYTES = 12;

    private static final int CRLF = '\r' << 8 | '\n';

    private final Gateway gateway;
    /** Null after it was removed: it would keep what it holds of an incomplete request. */
    private CallerDecoder decoder;

    private final MemoryBound.Share share;
    private Channel channel;
    private ChannelHandlerContext encoder;
    private boolean chunked;
    private HttpRequest head;
    private RequestBody body;
    /** Whether the body is not kept, since the request will be refused whatever it is. */
    private boolean bodyDiscarded;

    private int discardedBodyBytes;
    private boolean answersHead;
    private long headAtMillis;
    /** When the first bytes of an incomplete request were decoded; meaningless without one. */
    private long begunAtMillis;

    private long headMemory;
    private long bufferedAnswerBytes;
    private RelayExchange exchange;
    private boolean keepAlive = true;
    private boolean closing;
    private String lastAttemptId = "";
    private long idleSinceMillis;
    private boolean served;
    private long lastUnsentBytes;
    private long unsentSinceMillis;
    /** A connection is closed if it is idle twice: after a stall of the event loop, a request may wait to be read. */
    private boolean idleAtLastSweep;

    private CallerConnection(Gateway gateway) {
        this.gateway = gateway;
        this.decoder = new CallerDecoder(this, gateway.decodingTurns());
        this.share = gateway.callerMemory().open(this);
    }

    /** Adds the handlers of a caller connection to a pipeline. */
    static void addTo(ChannelPipeline pipeline, Gateway gateway) {
        CallerConnection connection = new CallerConnection(gateway);
        pipeline.addLast(connection.decoder, new CallerEncoder(connection), connection);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        encoder = context.pipeline().context(CallerEncoder.class);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        idleSinceMillis = gateway.nowMillis();
        if (gateway.shedding().recordConnection(idleSinceMillis)) {
            gateway.count("connection_shed");
            closing = true;
            channel.close();
            return;
        }
        if (!gateway.callerConnected(this)) {
            closing = true;
            channel.close();
        }
    }

    /** Returns whether the connection may be closed to make room for another one. */
    boolean dismissible() {
        return exchange == null && !closing && unsentBytes() == 0;
    }

    /** Returns whether a request of the connection has been answered. */
    boolean served() {
        return served;
    }

    /** Returns when the connection was opened, or its last response written. */
    long idleSinceMillis() {
        return idleSinceMillis;
    }

    /** Closes the connection at once, to make room for another one. */
    void dismiss() {
        closing = true;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        idleAtLastSweep = false;
        if (closing || !(message instanceof HttpObject object)) {
            logUnread(message, "its connection is being closed");
            ReferenceCountUtil.release(message);
            return;
        }
        read(object);
    }

    // ---- used by the decoder

    /** Returns whether more may be decoded: the next request only after the response to the one before. */
    boolean takesInput() {
        return closing || (exchange == null && channel.isWritable());
    }

    /** Returns whether a request has begun to arrive and is not complete. */
    boolean readsRequest() {
        return !closing && exchange == null && (head != null || headMemory > 0);
    }

    /** Returns whether the next bytes belong to a head, and not to a body or what follows it. */
    boolean awaitsHead() {
        return head == null;
    }

    boolean answersHead() {
        return answersHead;
    }

    /** Records what is held of a head, complete or in part, or of the trailers after a body. */
    void holdHead(int bytes, int lines) {
        if (inputDropped()) {
            return;
        }
        if (headMemory == 0) {
            begunAtMillis = gateway.nowMillis();
        }
        if (bytes > HEAD_PARTS * gateway.limits().maxHeaderBytes() && !closing) {
            refuseTooLong();
            return;
        }
        headMemory = Math.max(headMemory, HeadMemory.of(bytes, lines));
        if (!share.tryResize(heldBytes())) {
            if (closing) {
                dropInput();
            } else {
                refuseForMemory();
            }
        }
    }

    private void refuseTooLong() {
        keepAlive = false;
        releaseRequest();
        dropInput();
        refuseUnread(Refusal.of(431, ResultCode.HEADER_TOO_LONG));
    }

    /** Pauses or resumes reading after bytes have been read or decoded. */
    void bytesRead() {
        boolean paused = !inputDropped() && (decoder.awaitingTurn() || decoder.undecodedBytes() >= MAX_UNDECODED_BYTES);
        if (channel.config().isAutoRead() == paused) {
            channel.config().setAutoRead(!paused);
        }
        long held = heldBytes();
        if (held != share.bytes() && !share.tryResize(held)) {
            evict();
        }
    }

    /** Goes on with what was left undecoded, and resumes reading. */
    void resumeReading() {
        if (inputDropped() || !channel.isOpen()) {
            return;
        }
        try {
            decoder.resume();
        } catch (Exception e) {
            channel.pipeline().fireExceptionCaught(e);
        }
        if (!inputDropped()) {
            bytesRead();
        }
    }

    private boolean inputDropped() {
        return decoder == null;
    }

    // ---- memory

    private long heldBytes() {
        long held = bufferedAnswerBytes + unsentBytes() + (exchange == null ? headMemory : 2 * headMemory);
        if (body != null) {
            held += body.memoryWith(0);
        } else if (exchange != null) {
            held += exchange.bodyBytes();
        }
        return held + undecodedMemory();
    }

    private long undecodedMemory() {
        if (inputDropped()) {
            return 0;
        }
        return 2L * decoder.undecodedBytes() + (channel.config().isAutoRead() ? 0 : RECEIVE_BUFFER_BYTES);
    }

    @Override
    public long evictableBytes() {
        if (readsRequest()) {
            return share.bytes();
        }
        return exchange != null && decoder.undecodedBytes() > 0 ? undecodedMemory() : 0;
    }

    @Override
    public long evictableSinceMillis() {
        return begunAtMillis;
    }

    /** Refuses the request that arrives, or drops what was sent after the one that runs. */
    @Override
    public void evict() {
        if (exchange == null && !closing) {
            refuseForMemory();
        } else {
            keepAlive = false;
            dropInput();
        }
    }

    private void refuseForMemory() {
        keepAlive = false;
        releaseRequest();
        dropInput();
        refuse(Refusal.notExecuted(ResultCode.MEMORY_FULL, gateway.retryAfterMillis()));
    }

    /** Drops what was not decoded and all that follows; the connection ends with its current response. */
    private void dropInput() {
        if (inputDropped()) {
            return;
        }
        headMemory = exchange == null ? 0 : headMemory;
        decoder.endTurns();
        channel.pipeline().remove(decoder);
        decoder = null;
        channel.config().setAutoRead(true);
        share.resize(heldBytes());
    }

    /**
     * Records that bytes of an answer are kept until it is complete.
     *
     * @return whether there is memory for them; otherwise the answer has to be forwarded as it arrives
     */
    boolean holdAnswer(int bytes) {
        bufferedAnswerBytes += bytes;
        if (share.tryResize(heldBytes())) {
            return true;
        }
        bufferedAnswerBytes -= bytes;
        return false;
    }

    /** Records that bytes of an answer are not kept any more. */
    void releaseAnswer(int bytes) {
        bufferedAnswerBytes -= bytes;
        share.resize(heldBytes());
    }

    private void read(HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                refuseMalformed(object.decoderResult().cause());
                return;
            }
            if (object instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (object instanceof HttpContent content && head != null) {
                readBody(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void refuseMalformed(Throwable cause) {
        boolean tooLong = cause instanceof TooLongFrameException;
        keepAlive = false;
        releaseRequest();
        dropInput();
        refuseUnread(Refusal.of(tooLong ? 431 : 400, tooLong ? ResultCode.HEADER_TOO_LONG : ResultCode.MALFORMED_BODY));
    }

    private void beginRequest(HttpRequest request) {
        headAtMillis = gateway.nowMillis();
        keepAlive = HttpUtil.isKeepAlive(request);
        answersHead = request.method().equals(HttpMethod.HEAD);
        if (ambiguous(request)) {
            keepAlive = false;
            refuseUnread(Refusal.of(400, ResultCode.MALFORMED_BODY));
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > gateway.limits().maxBodyBytes()) {
            refuseTooLarge();
            return;
        }
        head = request;
        body = new RequestBody(channel.alloc());
        bodyDiscarded = false;
        discardedBodyBytes = 0;
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Returns whether two parsers could frame the request differently, which would allow request smuggling. */
    private static boolean ambiguous(HttpRequest request) {
        int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
        int lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        int codings =
                request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size();
        return hosts != 1
                || lengths > 1
                || (codings > 0 && lengths > 0)
                || (codings > 0 && !HttpUtil.isTransferEncodingChunked(request))
                || codings > 1
                || !request.uri().startsWith("/");
    }

    private void refuseTooLarge() {
        releaseRequest();
        keepAlive = false;
        refuseUnread(Refusal.of(413, ResultCode.BODY_TOO_LARGE));
    }

    private void readBody(HttpContent content) {
        int more = content.content().readableBytes();
        if (body.length() + discardedBodyBytes + more > gateway.limits().maxBodyBytes()) {
            refuseTooLarge();
            return;
        }
        boolean becomesLarge =
                body.length() <= RequestBody.BLOCK_BYTES && body.length() + more > RequestBody.BLOCK_BYTES;
        if (becomesLarge && !bodyDiscarded) {
            bodyDiscarded = RelayExchange.refusalByHead(gateway, head).isPresent();
        }
        if (bodyDiscarded) {
            discardedBodyBytes += more;
        } else if (!keep(content.content())) {
            refuseForMemory();
            return;
        }
        if (content instanceof LastHttpContent) {
            requestComplete();
        }
    }

    /** Appends to the body if there is memory for it. */
    private boolean keep(ByteBuf content) {
        int memory = body.memoryWith(content.readableBytes());
        if (memory > body.memoryWith(0) && !share.tryResize(heldBytes() - body.memoryWith(0) + memory)) {
            return false;
        }
        body.append(content);
        return true;
    }

    private void requestComplete() {
        if (bodyDiscarded) {
            HttpRequest request = head;
            releaseRequest();
            // A configuration that came in the meantime may allow the request, whose body is gone.
            Refusal refusal = RelayExchange.refusalByHead(gateway, request)
                    .orElseGet(() -> Refusal.notExecuted(ResultCode.NOT_READY, gateway.retryAfterMillis()));
            RequestTelemetry.of(
                            gateway, gateway.dialect().callerMetadata(request).attemptId(), headAtMillis)
                    .refused(refusal);
            refuse(refusal);
            return;
        }
        if (!share.tryResize(heldBytes() + headMemory)) {
            refuseForMemory();
            return;
        }
        HttpRequest request = head;
        ByteBuf wholeBody = body.take();
        head = null;
        body = null;
        exchange = RelayExchange.of(gateway, this, request, wholeBody, headAtMillis);
        lastAttemptId = exchange.attemptId();
        exchange.start();
    }

    /** Returns whether the caller reads as fast as responses arrive. */
    boolean writable() {
        return channel.isWritable();
    }

    /** Writes the head of a response whose body follows in chunks. */
    void writeHead(HttpResponse response) {
        setConnectionHeader(response);
        chunked = HttpUtil.isTransferEncodingChunked(response);
        channel.write(response);
    }

    /**
     * Writes a part of a response body and takes ownership of the bytes.
     *
     * <p>A chunked body is framed here and bypasses the codec, which would need three buffers and a gathering write for
     * each chunk: a quarter of a gateway's processor time with some twenty events per stream.
     */
    void writeChunk(ByteBuf bytes) {
        if (!chunked) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
            return;
        }
        int length = bytes.readableBytes();
        if (length > 0) {
            ByteBuf chunk = channel.alloc().ioBuffer(length + CHUNK_FRAME_BYTES);
            chunk.writeCharSequence(Integer.toHexString(length), StandardCharsets.US_ASCII);
            ByteBufUtil.writeShortBE(chunk, CRLF);
            chunk.writeBytes(bytes);
            ByteBufUtil.writeShortBE(chunk, CRLF);
            encoder.writeAndFlush(chunk);
        }
        bytes.release();
    }

    /** Ends a response that was written in chunks. */
    void endResponse() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        responseFinished();
    }

    /** Writes a complete response. */
    void writeResponse(FullHttpResponse response) {
        setConnectionHeader(response);
        channel.writeAndFlush(response);
        responseFinished();
    }

    /** Resets the connection in the middle of a response, so that the caller cannot take it for complete. */
    void abortResponse() {
        exchange = null;
        closing = true;
        channel.config().setOption(io.netty.channel.ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Refuses a request that was not read completely and therefore has no exchange to log it. */
    private void refuseUnread(Refusal refusal) {
        RequestTelemetry.of(gateway, "", gateway.nowMillis()).refused(refusal);
        refuse(refusal);
    }

    /** Writes a response that the relay itself gives to a request. */
    void refuse(Refusal refusal) {
        gateway.count(refusal.code().label());
        ByteBuf text = ByteBufUtil.writeUtf8(channel.alloc(), refusal.code().meaning() + "\n");
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(refusal.status()), text);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
        response.headers().set(ResultCode.HEADER, refusal.code().number());
        if (refusal.retryAfterMillis() > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(refusal.retryAfterMillis()));
        }
        writeResponse(response);
    }

    private static String seconds(long millis) {
        return millis / 1000 + "." + String.format("%03d", millis % 1000);
    }

    private void setConnectionHeader(HttpResponse response) {
        // Pipelined requests are answered first; the last of their responses closes the connection.
        boolean pipelined = !inputDropped() && decoder.undecodedBytes() > 0;
        if (!pipelined && (gateway.draining() || gateway.shedding().dispersesCallers())) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void responseFinished() {
        exchange = null;
        headMemory = 0;
        answersHead = false;
        served = true;
        idleSinceMillis = gateway.nowMillis();
        if (!keepAlive) {
            closeGracefully();
        }
        share.resize(heldBytes());
        if (!closing) {
            resumeReading();
        }
    }

    /**
     * Closes the connection after everything written has been sent. A close with unread bytes would reset the
     * connection and lose a response that is still being sent, so the caller has time to close first.
     */
    private void closeGracefully() {
        closing = true;
        resumeReading();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) future -> {
            ((SocketChannel) channel).shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), lingerMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private long lingerMillis() {
        long sinceResponseMillis = gateway.nowMillis() - idleSinceMillis;
        return gateway.draining() ? Math.max(LINGER_MILLIS, STOP_LINGER_MILLIS - sinceResponseMillis) : LINGER_MILLIS;
    }

    /** Refuses a request that has not been read completely, or closes the connection if there is none. */
    void refuseUnread() {
        if (closing || exchange != null) {
            return;
        }
        if (!readsRequest()) {
            closeGracefully();
        } else {
            releaseRequest();
            keepAlive = false;
            dropInput();
            refuseUnread(Refusal.notExecuted(ResultCode.ROUTER_STOPPING, gateway.retryAfterMillis()));
        }
    }

    /** Returns the number of bytes that were written but not yet taken by the kernel. */
    long unsentBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    /** Logs what the caller may not have received yet, or what was not read yet, when the process ends. */
    void logUndelivered() {
        long unsentBytes = unsentBytes();
        if (unsentBytes > 0) {
            logUndelivered(lastAttemptId, "the caller has not read all of the answer", unsentBytes);
        } else if (exchange != null) {
            logUndelivered(lastAttemptId, "the answer is not complete", 0);
        } else if (head != null) {
            logUndelivered(gateway.dialect().callerMetadata(head).attemptId(), "the request was read in part", 0);
        } else if (closing) {
            logUndelivered(lastAttemptId, "the caller has not closed its side after the answer", 0);
        }
    }

    private void logUndelivered(String attemptId, String why, long unsentBytes) {
        RequestTelemetry.of(gateway, attemptId, gateway.nowMillis()).undelivered(why, unsentBytes);
    }

    /** Closes the connection if it exceeded the idle limit, or refuses a request that arrives too slowly. */
    void sweep(long nowMillis) {
        CallerLimits limits = gateway.limits();
        share.resize(heldBytes());
        sweepUnsent(nowMillis, limits);
        if (closing || exchange != null) {
            return;
        }
        if (readsRequest()) {
            sweepUnreadRequest(nowMillis, limits);
            return;
        }
        long maxIdleMillis =
                gateway.intakeClosed() ? STOP_IDLE_MILLIS : limits.idleTimeoutMillis() + limits.headerTimeoutMillis();
        boolean idle = nowMillis - idleSinceMillis > maxIdleMillis;
        if (idle && idleAtLastSweep) {
            closeGracefully();
        }
        idleAtLastSweep = idle;
    }

    /** Resets the connection if its caller has read nothing of a complete answer for as long as it may be idle. */
    private void sweepUnsent(long nowMillis, CallerLimits limits) {
        long unsentBytes = unsentBytes();
        if (unsentBytes == 0 || unsentBytes != lastUnsentBytes || exchange != null) {
            lastUnsentBytes = unsentBytes;
            unsentSinceMillis = nowMillis;
        } else if (nowMillis - unsentSinceMillis > limits.headerTimeoutMillis() + limits.idleTimeoutMillis()) {
            gateway.count("answer_not_read");
            abortResponse();
        }
    }

    private void sweepUnreadRequest(long nowMillis, CallerLimits limits) {
        if (head == null && gateway.intakeClosed()) {
            if (nowMillis - begunAtMillis > limits.headerTimeoutMillis()) {
                refuseUnread();
            }
        } else if (nowMillis - (head == null ? begunAtMillis : headAtMillis)
                > limits.headerTimeoutMillis() + limits.idleTimeoutMillis()) {
            releaseRequest();
            keepAlive = false;
            dropInput();
            refuseUnread(Refusal.of(408, ResultCode.CALLER_TOO_SLOW));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.callerWritabilityChanged(channel.isWritable());
        } else if (channel.isWritable()) {
            resumeReading();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        gateway.callerDisconnected(this);
        if (head != null) {
            logUnread(head, "its connection was closed before its body was complete");
        }
        releaseRequest();
        share.close();
        if (!inputDropped()) {
            decoder.endTurns();
        }
        if (exchange != null) {
            RelayExchange abandoned = exchange;
            exchange = null;
            abandoned.callerDisconnected();
        }
    }

    private void releaseRequest() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void logUnread(Object message, String why) {
        if (message instanceof HttpRequest request) {
            RequestTelemetry.of(
                            gateway, gateway.dialect().callerMetadata(request).attemptId(), gateway.nowMillis())
                    .unread(why);
        }
    }
}
