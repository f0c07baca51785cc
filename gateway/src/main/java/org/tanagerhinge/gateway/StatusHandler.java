package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Serves the readiness check of the platform and the metrics. */
final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Gateway gateway;
    private final NodeMetrics metrics;

    StatusHandler(Gateway gateway, NodeMetrics metrics) {
        this.gateway = gateway;
        this.metrics = metrics;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        String path = request.uri();
        HttpResponseStatus status = HttpResponseStatus.OK;
        String text = "";
        if (path.equals(gateway.dialect().readinessPath())) {
            boolean ready = gateway.ready();
            status = ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            text = ready ? "ready\n" : "not ready\n";
        } else if (path.equals("/metrics")) {
            text = metrics.text();
        } else {
            status = HttpResponseStatus.NOT_FOUND;
        }
        ByteBuf body = ByteBufUtil.writeUtf8(context.alloc(), text);
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
