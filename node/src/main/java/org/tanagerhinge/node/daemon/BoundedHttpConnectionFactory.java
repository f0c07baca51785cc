package org.tanagerhinge.node.daemon;

import java.time.InstantSource;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.tanagerhinge.core.memory.HeadMemory;
import org.tanagerhinge.core.memory.MemoryBound;

/** Creates HTTP connections whose incomplete heads and trailers are bounded over all of them together. */
final class BoundedHttpConnectionFactory extends HttpConnectionFactory {
    private final MemoryBound memory;
    private final InstantSource clock;

    BoundedHttpConnectionFactory(HttpConfiguration configuration, MemoryBound memory, InstantSource clock) {
        super(configuration);
        this.memory = memory;
        this.clock = clock;
    }

    /** Returns the memory that a field of a request takes, in bytes. */
    static long memory(HttpField field) {
        return HeadMemory.of(length(field.getName()) + length(field.getValue()), 1);
    }

    private static int length(String text) {
        return text == null ? 0 : text.length();
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return configure(new BoundedConnection(connector, endPoint), connector, endPoint);
    }

    private final class BoundedConnection extends HttpConnection implements MemoryBound.Holder {
        private final MemoryBound.Share share = memory.open(this);
        private volatile long begunAtMillis;

        BoundedConnection(Connector connector, EndPoint endPoint) {
            super(BoundedHttpConnectionFactory.this.getHttpConfiguration(), connector, endPoint);
        }

        @Override
        protected RequestHandler newRequestHandler() {
            return new RequestHandler() {
                @Override
                public void messageBegin() {
                    begunAtMillis = clock.millis();
                    super.messageBegin();
                }

                @Override
                public void parsedHeader(HttpField field) {
                    hold(field);
                    super.parsedHeader(field);
                }

                @Override
                public boolean headerComplete() {
                    share.resize(0);
                    return super.headerComplete();
                }

                @Override
                public void parsedTrailer(HttpField field) {
                    hold(field);
                    super.parsedTrailer(field);
                }

                @Override
                public boolean messageComplete() {
                    share.resize(0);
                    return super.messageComplete();
                }
            };
        }

        private void hold(HttpField field) {
            if (!share.tryResize(share.bytes() + memory(field))) {
                throw new BadMessageException(HttpStatus.SERVICE_UNAVAILABLE_503);
            }
        }

        @Override
        public long evictableBytes() {
            return share.bytes();
        }

        @Override
        public long evictableSinceMillis() {
            return begunAtMillis;
        }

        @Override
        public void evict() {
            share.resize(0);
            // Not on this thread, which holds the lock of the bound and belongs to another connection.
            getConnector().getExecutor().execute(getEndPoint()::close);
        }

        @Override
        public void onClose(Throwable cause) {
            share.close();
            super.onClose(cause);
        }
    }
}
