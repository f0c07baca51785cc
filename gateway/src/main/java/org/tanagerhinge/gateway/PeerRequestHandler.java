package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.tanagerhinge.core.relay.ServerInstance;

/** Serves this gateway's configuration and server list to peers, and accepts their usage reports. */
final class PeerRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    static final String CONFIG_PATH = "/configuration";
    static final String SERVERS_PATH = "/servers";
    static final String USAGE_PATH = "/usage-counts";

    private final Gateway gateway;

    private final Optional<DutyParticipant> dutyParticipant;

    PeerRequestHandler(Gateway gateway, Optional<DutyParticipant> dutyParticipant) {
        this.gateway = gateway;
        this.dutyParticipant = dutyParticipant;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!context.channel().isWritable()) {
            // A peer asks again only after it has read the answer.
            context.close();
            return;
        }
        Optional<byte[]> body = switch (request.uri()) {
            case CONFIG_PATH -> gateway.configDocument();
            case SERVERS_PATH -> Optional.of(servers());
            case USAGE_PATH -> receiveUsage(request);
            default -> Optional.empty();
        };
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                body.isPresent() ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
                Unpooled.wrappedBuffer(body.orElse(new byte[0])));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        context.writeAndFlush(response);
    }

    private Optional<byte[]> receiveUsage(FullHttpRequest request) {
        byte[] body = ByteBufUtil.getBytes(request.content());
        try {
            return dutyParticipant.isPresent() ? dutyParticipant.get().receiveReports(body) : Optional.empty();
        } catch (InvalidProtocolBufferException e) {
            gateway.count("peer_report_unreadable");
            return Optional.empty();
        }
    }

    private byte[] servers() {
        return PeerCodec.encodeServers(new PeerCodec.ServerSnapshot(
                gateway.directory().all().stream()
                        .map(ServerInstance::registration)
                        .toList(),
                gateway.directory().hasList()
                        ? gateway.nowMillis() - gateway.directory().newestListMillis()
                        : Integer.MAX_VALUE,
                gateway.directory().position(),
                gateway.directory().versionHistory().history(gateway.nowMillis()),
                gateway.directory().versionHistory().complete(gateway.nowMillis())));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
