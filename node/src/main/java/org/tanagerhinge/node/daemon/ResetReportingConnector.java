package org.tanagerhinge.node.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens connections on which a reset by the server fails the response.
 *
 * <p>Jetty's own connections report a reset as the orderly end of the input, with which a response without a length is
 * complete.
 */
final class ResetReportingConnector extends ClientConnector {
    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetReportingEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    private static final class ResetReportingEndPoint extends SocketChannelEndPoint {
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
                    shutdownInput();
                }
                return filled;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }
    }
}
