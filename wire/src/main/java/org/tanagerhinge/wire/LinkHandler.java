package org.tanagerhinge.wire;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.AttributeKey;
import java.util.Optional;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.wire.proto.Hello;
import org.tanagerhinge.wire.proto.Packet;
import org.tanagerhinge.wire.proto.Proof;

/**
 * Performs the mutual handshake on one end of a connection, then passes messages to the listener.
 *
 * <p>No message is passed on until the peer has proved knowledge of the shared secret, so an unauthenticated host
 * cannot submit work to an agent. A peer that sends nothing for longer than the idle timeout counts as lost: a frozen
 * process keeps its connections open, and requests would wait for it forever.
 */
final class LinkHandler extends SimpleChannelInboundHandler<Packet> implements Link {
    /**
     * Checks within the idle timeout that must find nothing received before the peer counts as lost. A pause of this process
     * delays all but one of them, so that it isn't taken for silence of the peer.
     */
    static final int IDLE_CHECKS = 3;

    private static final int PROTOCOL_VERSION = 1;
    private static final AttributeKey<Boolean> AUTHENTICATED = AttributeKey.valueOf("authenticated");

    private final Peer self;
    private final Peer.Role expectedRole;
    private final Optional<String> expectedName;
    private final SharedSecret secret;
    private final LinkListener listener;
    private final byte[] nonce = SharedSecret.newNonce();
    private volatile ChannelHandlerContext context;
    private volatile Peer peer;
    private byte[] peerNonce;
    private boolean authenticated;
    private int idleChecks;

    LinkHandler(
            Peer self,
            Peer.Role expectedRole,
            Optional<String> expectedName,
            SharedSecret secret,
            LinkListener listener) {
        this.self = self;
        this.expectedRole = expectedRole;
        this.expectedName = expectedName;
        this.secret = secret;
        this.listener = listener;
    }

    /** Returns whether the peer of a connection has proved knowledge of the shared secret. */
    static boolean isAuthenticated(Channel channel) {
        return Boolean.TRUE.equals(channel.attr(AUTHENTICATED).get());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        Hello hello = Hello.newBuilder()
                .setRole(self.role().name())
                .setName(self.name())
                .setIncarnation(self.incarnation())
                .setNonce(ByteString.copyFrom(nonce))
                .setVersion(PROTOCOL_VERSION)
                .build();
        ctx.writeAndFlush(Packet.newBuilder().setHello(hello).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Packet packet) {
        if (authenticated) {
            deliverFrame(ctx, packet);
        } else if (packet.hasHello() && peer == null) {
            handleHello(ctx, packet.getHello());
        } else if (packet.hasProof() && peer != null) {
            handleProof(ctx, packet.getProof());
        } else {
            reject(ctx, "handshake_order");
        }
    }

    private void deliverFrame(ChannelHandlerContext ctx, Packet packet) {
        try {
            listener.onFrame(this, FrameDecoder.decode(packet));
        } catch (MalformedFrameException e) {
            reject(ctx, "malformed_frame");
        }
    }

    private void handleHello(ChannelHandlerContext ctx, Hello hello) {
        boolean expected = hello.getRole().equals(expectedRole.name())
                && expectedName.map(hello.getName()::equals).orElse(true)
                && hello.getVersion() == PROTOCOL_VERSION
                && hello.getNonce().size() == nonce.length;
        if (!expected) {
            reject(ctx, "unexpected_peer");
            return;
        }
        peer = new Peer(expectedRole, hello.getName(), hello.getIncarnation());
        peerNonce = hello.getNonce().toByteArray();
        byte[] mac = secret.computeProof(self, nonce, peerNonce);
        ctx.writeAndFlush(Packet.newBuilder()
                .setProof(Proof.newBuilder().setMac(ByteString.copyFrom(mac)))
                .build());
    }

    private void handleProof(ChannelHandlerContext ctx, Proof proof) {
        if (!secret.isValidProof(proof.getMac().toByteArray(), peer, peerNonce, nonce)) {
            reject(ctx, "wrong_secret");
            return;
        }
        authenticated = true;
        ctx.channel().attr(AUTHENTICATED).set(true);
        LinkInitializer.allowLargePackets(ctx.pipeline());
        listener.onUp(this);
    }

    private void reject(ChannelHandlerContext ctx, String reason) {
        listener.onRefused(reason);
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (authenticated) {
            authenticated = false;
            listener.onDown(this);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            return;
        }
        idleChecks = idle.isFirst() ? 1 : idleChecks + 1;
        if (idleChecks >= IDLE_CHECKS) {
            listener.onRefused("silent_peer");
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    public Peer peer() {
        return peer;
    }

    @Override
    public void send(Frame frame) {
        ChannelHandlerContext ctx = context;
        if (!ctx.channel().isWritable()) {
            // The peer does not read. An unbounded queue would exhaust the memory of this process, so the link is
            // closed: both ends can recover from that.
            reject(ctx, "peer_not_reading");
            return;
        }
        ctx.writeAndFlush(FrameEncoder.encode(frame));
    }

    @Override
    public void close() {
        context.close();
    }
}
