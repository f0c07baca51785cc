package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerhinge.core.memory.HeadMemory;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.node.http.Lines;

/**
 * Bounds what the connections of a listener for operators and peers make this node hold: their number, requests that are not
 * complete, and responses that are not read.
 */
final class ControlConnections {
    private final int maxConnections;
    private final MemoryBound memory;
    private final LongSupplier clock;
    private final Consumer<String> counter;
    private final Set<Guard> connections = new HashSet<>();

    /**
     * Creates the bounds of one listener.
     *
     * @param memory bound that listeners may share
     * @param clock steady clock in milliseconds
     * @param counter counts by reason
     */
    ControlConnections(int maxConnections, MemoryBound memory, LongSupplier clock, Consumer<String> counter) {
        this.maxConnections = maxConnections;
        this.memory = memory;
        this.clock = clock;
        this.counter = counter;
    }

    /** Returns the first handler of a new connection. */
    ChannelHandler guard() {
        return new Guard();
    }

    private void makeRoom() {
        if (connections.size() >= maxConnections) {
            connections.stream()
                    .min(Comparator.comparingLong(Guard::usedAtMillis))
                    .ifPresent(Guard::evict);
        }
    }

    private final class Guard extends ChannelDuplexHandler implements MemoryBound.Holder {
        private final MemoryBound.Share share = memory.open(this);
        private ChannelHandlerContext context;
        private long usedAtMillis = clock.getAsLong();
        private long incompleteBytes;

        @Override
        public void channelActive(ChannelHandlerContext active) throws Exception {
            context = active;
            makeRoom();
            connections.add(this);
            super.channelActive(active);
        }

        long usedAtMillis() {
            return usedAtMillis;
        }

        @Override
        public void channelRead(ChannelHandlerContext active, Object message) {
            ByteBuf received = (ByteBuf) message;
            if (incompleteBytes == 0) {
                usedAtMillis = clock.getAsLong();
            }
            incompleteBytes += HeadMemory.of(
                    received.readableBytes(), Lines.count(received, received.readerIndex(), received.writerIndex()));
            // A peer or scraper asks for more only after it has read the answer.
            boolean unread = !active.channel().isWritable();
            if (unread || !connections.contains(this) || !share.tryResize(incompleteBytes)) {
                ReferenceCountUtil.release(message);
                evict();
                return;
            }
            active.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext active, Object message, ChannelPromise promise) throws Exception {
            incompleteBytes = 0;
            share.resize(0);
            super.write(active, message, promise);
        }

        @Override
        public long evictableBytes() {
            return share.bytes();
        }

        @Override
        public long evictableSinceMillis() {
            return usedAtMillis;
        }

        @Override
        public void evict() {
            share.resize(0);
            if (connections.remove(this)) {
                counter.accept("control_connection_closed");
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext active) throws Exception {
            connections.remove(this);
            share.close();
            super.channelInactive(active);
        }
    }
}
