package org.tanagerhinge.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagerhinge.node.http.ResponseDecoder;
import org.tanagerhinge.node.http.ResponseFraming;

/**
 * Sends HTTP requests to one address, one at a time and in order, over a persistent connection.
 *
 * <p>Each call ends within its timeout. A call without a response closes the connection, which may be dead; the next
 * call opens another one.
 */
public final class SequentialHttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 700;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    /** Headers of a request with a JSON body. */
    public static final Map<String, String> JSON_HEADERS =
            Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), "application/json");

    private final EventLoopGroup loop;
    private final InetSocketAddress address;
    private final Deque<Call> queued = new ArrayDeque<>();
    private Channel channel;
    private ResponseDecoder decoder;
    private ChannelFuture written;
    private Call current;

    private SequentialHttpClient(EventLoopGroup loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /** Returns a client that connects with its first call. */
    public static SequentialHttpClient of(EventLoopGroup loop, InetSocketAddress address) {
        return new SequentialHttpClient(loop, address);
    }

    /**
     * Holds a response.
     *
     * @param status HTTP status, or 0 if the call failed
     * @param headers headers of the response, empty if the call failed
     * @param body the response body, or the reason of the failure as text
     */
    public record Response(int status, HttpHeaders headers, byte[] body) {
        /** Returns the response of a call that failed. */
        public static Response failed(String reason) {
            return new Response(0, EmptyHttpHeaders.INSTANCE, reason.getBytes(StandardCharsets.UTF_8));
        }

        /** Returns the body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static final class Call {
        private final HttpMethod method;
        private final String path;
        private final Map<String, String> headers;
        private final byte[] body;
        private final Consumer<Response> onResponse;
        private Future<?> timer;

        Call(HttpMethod method, String path, Map<String, String> headers, byte[] body, Consumer<Response> onResponse) {
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = body;
            this.onResponse = onResponse;
        }
    }

    /**
     * Sends a request with a JSON body; {@code onResponse} is called exactly once, on the event loop. A call made while
     * another one is in flight is sent after it, and its timeout includes the wait.
     *
     * @param body JSON text, or empty for none
     */
    public void call(HttpMethod method, String path, String body, long timeoutMillis, Consumer<Response> onResponse) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        boolean json = bytes.length > 0 || method.equals(HttpMethod.POST);
        call(method, path, json ? JSON_HEADERS : Map.of(), bytes, timeoutMillis, onResponse);
    }

    /** Sends a request with the given headers and a body of any type. */
    public void call(
            HttpMethod method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            Consumer<Response> onResponse) {
        Call call = new Call(method, path, headers, body, onResponse);
        call.timer = loop.next().schedule(() -> timedOut(call), timeoutMillis, TimeUnit.MILLISECONDS);
        if (current == null) {
            beginGuarded(call);
        } else {
            queued.add(call);
        }
    }

    /** Begins a call; if that throws, the call ends with its timeout at the latest. */
    private void beginGuarded(Call call) {
        try {
            begin(call);
        } catch (Throwable e) {
            TaskFailure.log("start of " + call.method + " " + call.path, e);
        }
    }

    private void timedOut(Call call) {
        if (call == current) {
            fail("no response in time");
        } else if (queued.remove(call)) {
            deliver(call, Response.failed("no response in time"));
        }
    }

    private void begin(Call call) {
        current = call;
        if (channel != null && channel.isActive()) {
            send(call);
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        decoder = new ResponseDecoder(MAX_HEADER_BYTES);
                        created.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        decoder,
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ResponseHandler());
                    }
                })
                .connect(address)
                .addListener((io.netty.channel.ChannelFutureListener) future -> {
                    if (current != call) {
                        future.channel().close();
                    } else if (future.isSuccess()) {
                        channel = future.channel();
                        send(call);
                    } else {
                        fail("could not connect");
                    }
                });
    }

    /** Closes the connection unless a call is in flight; the next call opens another one. */
    public void closeIdleConnection() {
        if (current == null && channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** Closes the connection; calls in flight and queued calls fail. */
    public void close() {
        List<Call> unsent = List.copyOf(queued);
        queued.clear();
        for (Call call : unsent) {
            call.timer.cancel(false);
            deliver(call, Response.failed("closed"));
        }
        if (current != null) {
            fail("closed");
        } else if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    private void send(Call call) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, call.method, call.path, Unpooled.wrappedBuffer(call.body));
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        call.headers.forEach((name, value) -> request.headers().set(name, value));
        if (call.body.length > 0 || call.method.equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
        }
        decoder.expect(call.method);
        written = channel.writeAndFlush(request);
    }

    private void fail(String reason) {
        if (current == null) {
            return;
        }
        if (channel != null) {
            channel.close();
            channel = null;
        }
        finish(Response.failed(reason));
    }

    private void finish(Response response) {
        Call ended = current;
        current = null;
        ended.timer.cancel(false);
        if (!queued.isEmpty()) {
            beginGuarded(queued.poll());
        }
        deliver(ended, response);
    }

    /** Passes on a response; what its receiver throws is logged and has no effect on the connection and other calls. */
    private static void deliver(Call call, Response response) {
        try {
            call.onResponse.accept(response);
        } catch (Throwable e) {
            TaskFailure.log("response of " + call.method + " " + call.path, e);
        }
    }

    /** Handles the responses of one connection. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (context.channel() != channel || current == null) {
                context.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                fail("malformed HTTP response: "
                        + response.decoderResult().cause().getMessage());
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            if (decoder.framing() == ResponseFraming.CONNECTION_END && !written.isSuccess()) {
                fail("connection ended before the request was written");
                return;
            }
            byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            if (!HttpUtil.isKeepAlive(response)) {
                channel = null;
                context.close();
            }
            finish(new Response(response.status().code(), response.headers(), body));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (context.channel() == channel) {
                fail("connection failed: " + cause.getMessage());
            }
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                channel = null;
                fail("connection closed");
            }
        }
    }
}
