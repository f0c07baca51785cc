package org.tanagerhinge.node.daemon;

import io.netty.handler.codec.http.HttpMethod;
import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.SendFailure;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tanagerhinge.node.http.ConnectionEnds;
import org.tanagerhinge.node.http.MalformedResponseException;
import org.tanagerhinge.node.http.ResponseCheck;

/**
 * Carries requests over connections on which a malformed response fails, and one that a reset has cut.
 *
 * <p>Jetty's own connections report a reset as the orderly end of the input, with which a response without a length is
 * complete. A server that closes a connection with bytes unread ends its direction in order and resets the connection then,
 * so such an end counts only if the server's kernel has taken the request by then, and no reset follows within
 * {@value #RESET_ARRIVAL_MILLIS} ms.
 */
final class CheckedHttpTransport extends HttpClientTransportOverHTTP {
    private static final long RESET_ARRIVAL_MILLIS = 5;

    private CheckedHttpTransport(ClientConnector connector) {
        super(connector);
    }

    /** Returns a transport with one selector. */
    static CheckedHttpTransport create() {
        ClientConnector connector = new CheckedConnector();
        connector.setSelectors(1);
        return new CheckedHttpTransport(connector);
    }

    @Override
    public Connection newConnection(EndPoint endPoint, Map<String, Object> context) {
        CheckedConnection connection = new CheckedConnection((CheckedEndPoint) endPoint, context);
        connection.setInitialize(isInitializeConnections());
        return connection;
    }

    private static final class CheckedConnection extends HttpConnectionOverHTTP {
        private final CheckedEndPoint endPoint;

        CheckedConnection(CheckedEndPoint endPoint, Map<String, Object> context) {
            super(endPoint, context);
            this.endPoint = endPoint;
        }

        @Override
        public SendFailure send(HttpExchange exchange) {
            endPoint.responses.expect(HttpMethod.valueOf(exchange.getRequest().getMethod()));
            return super.send(exchange);
        }
    }

    private static final class CheckedConnector extends ClientConnector {
        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new CheckedEndPoint((SocketChannel) channel, selector, key, getScheduler());
        }
    }

    private static final class CheckedEndPoint extends SocketChannelEndPoint {
        private final ResponseCheck responses = new ResponseCheck();
        private volatile boolean endSeen;
        private volatile long endSeenNanos;

        CheckedEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            try {
                int start = buffer.position();
                int filled = getChannel().read(buffer);
                if (filled > 0) {
                    notIdle();
                    check(buffer.slice(start, filled));
                } else if (filled < 0) {
                    return endOfInput();
                }
                return filled;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }

        private void check(ByteBuffer received) throws IOException {
            try {
                responses.received(received);
            } catch (MalformedResponseException e) {
                throw new IOException(e.getMessage(), e);
            }
        }

        /** Reports the end of the input, after a time if it completes a response, unless the connection was cut. */
        private int endOfInput() throws IOException {
            if (responses.endsBeforeConnection()) {
                throw new EOFException("connection ended within a response");
            }
            if (responses.endsWithConnection()) {
                long nowNanos = System.nanoTime();
                if (!endSeen) {
                    endSeenNanos = nowNanos;
                    endSeen = true;
                }
                if (nowNanos - endSeenNanos < TimeUnit.MILLISECONDS.toNanos(RESET_ARRIVAL_MILLIS)) {
                    return 0;
                }
                if (ConnectionEnds.wasCut(getChannel())) {
                    throw new SocketException("connection ended with a part of the request unread");
                }
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
