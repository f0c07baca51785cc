package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.tanagerhinge.core.relay.CallerLimits;
import org.tanagerhinge.core.result.ResultCode;

/** A caller's connection: reads one request after the other and writes their answers. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Objects of further requests that are kept while one is in progress; reading stops beyond. */
    private static final int MAX_PIPELINED = 64;
    /** How long a caller may take to close after an answer that ends its connection, in milliseconds. */
    private static final long LINGER_MILLIS = 1_000;
    /** Bytes of the frame of a chunk at the most: its length in hexadecimal digits and two line breaks. */
    private static final int CHUNK_FRAME_BYTES = 12;

    private static final int CRLF = '\r' << 8 | '\n';

    private final Gateway gateway;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private Channel channel;
    private ChannelHandlerContext codec;
    private boolean chunked;
    private HttpRequest head;
    private ByteBuf body;
    private long headAtMillis;
    private RelayExchange exchange;
    private boolean keepAlive = true;
    private boolean closing;
    private long idleSinceMillis;

    CallerConnection(Gateway gateway) {
        this.gateway = gateway;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        codec = context.pipeline().context(HttpServerCodec.class);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        idleSinceMillis = gateway.nowMillis();
        gateway.callerConnected(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing || !(message instanceof HttpObject object)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (exchange != null || !pipelined.isEmpty()) {
            pipelined.add(object);
            if (pipelined.size() > MAX_PIPELINED) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        read(object);
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
        boolean tooLong = cause instanceof TooLongHttpHeaderException;
        keepAlive = false;
        refuseUnread(Refusal.of(tooLong ? 431 : 400, tooLong ? ResultCode.HEADER_TOO_LONG : ResultCode.MALFORMED_BODY));
    }

    private void beginRequest(HttpRequest request) {
        headAtMillis = gateway.nowMillis();
        keepAlive = HttpUtil.isKeepAlive(request);
        if (ambiguous(request)) {
            keepAlive = false;
            refuseUnread(Refusal.of(400, ResultCode.MALFORMED_BODY));
            return;
        }
        head = request;
        body = channel.alloc().heapBuffer(256);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** A request that two readers could cut differently would let one caller smuggle in another's request. */
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

    private void readBody(HttpContent content) {
        CallerLimits limits = gateway.limits();
        if (body.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
            releaseRequest();
            keepAlive = false;
            refuseUnread(Refusal.of(413, ResultCode.BODY_TOO_LARGE));
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            HttpRequest request = head;
            ByteBuf wholeBody = body;
            head = null;
            body = null;
            exchange = RelayExchange.of(gateway, this, request, wholeBody, headAtMillis);
            exchange.start();
        }
    }

    /** Returns whether the caller reads as fast as answers come. */
    boolean writable() {
        return channel.isWritable();
    }

    /** Writes the head of an answer whose body follows in pieces. */
    void writeHead(HttpResponse response) {
        setConnectionHeader(response);
        chunked = HttpUtil.isTransferEncodingChunked(response);
        channel.write(response);
    }

    /**
     * Writes a piece of a body; the bytes are taken over.
     *
     * <p>A piece of a chunked body is framed here and goes past the codec, which would make three buffers of it and a
     * gathering write: with some twenty events a stream that is a quarter of a gateway's processor time.
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
            codec.writeAndFlush(chunk);
        }
        bytes.release();
    }

    /** Ends an answer that was written in pieces. */
    void endResponse() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        responseFinished();
    }

    /** Writes a whole answer. */
    void writeResponse(FullHttpResponse response) {
        setConnectionHeader(response);
        channel.writeAndFlush(response);
        responseFinished();
    }

    /** Ends the connection in the midst of an answer, so that it can't be taken for whole. */
    void abortResponse() {
        exchange = null;
        closing = true;
        channel.config().setOption(io.netty.channel.ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Answers a request that wasn't read whole, so that there is no exchange to tell of it. */
    private void refuseUnread(Refusal refusal) {
        RequestTelemetry.of(gateway, "", gateway.nowMillis()).refused(refusal);
        refuse(refusal);
    }

    /** Answers a request in the relay's own name. */
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
        if (gateway.draining()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void responseFinished() {
        exchange = null;
        idleSinceMillis = gateway.nowMillis();
        if (!keepAlive || gateway.draining()) {
            closeGracefully();
            return;
        }
        while (exchange == null && !closing && !pipelined.isEmpty()) {
            read(pipelined.poll());
        }
        if (pipelined.isEmpty()) {
            channel.config().setAutoRead(true);
        }
    }

    /**
     * Closes after what was written has gone out. Closing with unread bytes would reset the connection, and with it an
     * answer that is still under way; so the caller is given time to close first.
     */
    private void closeGracefully() {
        closing = true;
        dropPipelined();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) future -> {
            ((SocketChannel) channel).shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    /** Closes the connection if nothing is in progress on it, for a planned stop. */
    void closeIfIdle() {
        if (!closing && exchange == null && head == null) {
            closeGracefully();
        }
    }

    /** Closes the connection if it is idle or slow to send beyond the limits. */
    void sweep(long nowMillis) {
        CallerLimits limits = gateway.limits();
        if (closing || exchange != null) {
            return;
        }
        if (head != null && nowMillis - headAtMillis > limits.headerTimeoutMillis() + limits.idleTimeoutMillis()) {
            releaseRequest();
            keepAlive = false;
            refuseUnread(Refusal.of(408, ResultCode.CALLER_TOO_SLOW));
        } else if (head == null
                && nowMillis - idleSinceMillis > limits.idleTimeoutMillis() + limits.headerTimeoutMillis()) {
            closeGracefully();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.callerWritabilityChanged(channel.isWritable());
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
        releaseRequest();
        dropPipelined();
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

    private void dropPipelined() {
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
    }
}
