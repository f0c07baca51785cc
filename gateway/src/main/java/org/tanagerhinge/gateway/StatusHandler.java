package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Serves the readiness check of the platform and the metrics. */
final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Gateway gateway;

    StatusHandler(Gateway gateway) {
        this.gateway = gateway;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!context.channel().isWritable()) {
            // Nobody asks again before reading the answer.
            context.close();
            return;
        }
        String path = request.uri();
        HttpResponseStatus status = HttpResponseStatus.OK;
        byte[] text = new byte[0];
        if (path.equals(gateway.dialect().readinessPath())) {
            boolean ready = gateway.ready();
            status = ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            text = (ready ? "ready\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
        } else if (path.equals("/metrics")) {
            text = gateway.metricsText();
        } else {
            status = HttpResponseStatus.NOT_FOUND;
        }
        ByteBuf body = Unpooled.wrappedBuffer(text);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        context.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
