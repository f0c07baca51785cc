package org.tanagerhinge.node.daemon;

import java.io.IOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tanagerhinge.node.http.ConnectionResets;

/**
 * Opens connections on which a reset by the server fails the response.
 *
 * <p>Jetty's own connections report a reset as the orderly end of the input, with which a response without a length is
 * complete. A server that closes a connection with bytes unread ends its direction in order and resets the connection then,
 * so the end counts only if no reset follows within {@value #RESET_ARRIVAL_MILLIS} ms.
 */
final class ResetReportingConnector extends ClientConnector {
    private static final long RESET_ARRIVAL_MILLIS = 5;

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetReportingEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    private static final class ResetReportingEndPoint extends SocketChannelEndPoint {
        private volatile boolean endSeen;
        private volatile long endSeenNanos;

        ResetReportingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            try {
                int filled = getChannel().read(buffer);
                if (filled > 0) {
                    notIdle();
                } else if (filled < 0) {
                    return endOfInput();
                }
                return filled;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }

        /** Reports the end of the input some time after it was first seen, unless the connection was reset meanwhile. */
        private int endOfInput() throws IOException {
            long nowNanos = System.nanoTime();
            if (!endSeen) {
                endSeenNanos = nowNanos;
                endSeen = true;
            }
            if (nowNanos - endSeenNanos < TimeUnit.MILLISECONDS.toNanos(RESET_ARRIVAL_MILLIS)) {
                return 0;
            }
            if (ConnectionResets.wasReset(getChannel())) {
                throw new SocketException("connection reset after the end of the input");
            }
            shutdownInput();
            return -1;
        }

        @Override
        protected void needsFillInterest() {
            if (endSeen) {
                getScheduler()
                        .schedule(() -> getFillInterest().fillable(), RESET_ARRIVAL_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                super.needsFillInterest();
            }
        }
    }
}
