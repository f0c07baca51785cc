package org.tanagerhinge.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tanagerhinge.wire.proto.Packet;

/** Initializes the channel pipeline of a connection: length-prefixed protobuf packets of limited size. */
final class LinkInitializer extends ChannelInitializer<Channel> {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_PACKET_BYTES = 32 << 20;
    /** Maximum size of a packet before the peer is authenticated. */
    private static final int MAX_HANDSHAKE_BYTES = 4_096;

    private static final String FRAME_DECODER = "frames";
    private static final int LOW_WATERMARK_BYTES = 8 << 20;
    private static final int HIGH_WATERMARK_BYTES = 48 << 20;

    private final Supplier<LinkHandler> handlerFactory;
    private final Duration idleTimeout;

    LinkInitializer(Supplier<LinkHandler> handlerFactory, Duration idleTimeout) {
        this.handlerFactory = handlerFactory;
        this.idleTimeout = idleTimeout;
    }

    /** Returns an initializer with the same settings for another connection. */
    LinkInitializer copy() {
        return new LinkInitializer(handlerFactory, idleTimeout);
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxPacketBytes) {
        return new LengthFieldBasedFrameDecoder(maxPacketBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Allows packets of full size on a connection whose peer has proved knowledge of the shared secret. */
    static void allowLargePackets(ChannelPipeline pipeline) {
        pipeline.replace(FRAME_DECODER, FRAME_DECODER, frameDecoder(MAX_PACKET_BYTES));
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.config().setOption(ChannelOption.TCP_NODELAY, true);
        channel.config()
                .setOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATERMARK_BYTES, HIGH_WATERMARK_BYTES));
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(64, true))
                .addLast(new IdleStateHandler(
                        idleTimeout.toMillis() / LinkHandler.IDLE_CHECKS, 0, 0, TimeUnit.MILLISECONDS))
                .addLast(FRAME_DECODER, frameDecoder(MAX_HANDSHAKE_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufDecoder(Packet.getDefaultInstance()))
                .addLast(new ProtobufEncoder())
                .addLast(handlerFactory.get());
    }
}
