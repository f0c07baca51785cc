package org.tanagerhinge.router;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.node.daemon.HttpServer;

/**
 * Reads the body of one request within the memory that all callers share, and accounts for the request until it has ended.
 *
 * <p>What is read is copied, since a chunk of one byte would keep the network buffer that it came in.
 */
final class BodyReader implements Invocable.Task, MemoryBound.Holder {
    private static final int BLOCK_BYTES = 16_384;
    private final Request request;
    private final int maxBytes;
    private final Listener listener;
    private final MemoryBound.Share share;
    private final long startedAtMillis;
    private final long headMemory;
    private final List<byte[]> blocks = new ArrayList<>();
    private int length;
    private boolean reading = true;

    /** Receives the body, or why there is none. */
    interface Listener {
        void onBody(byte[] body);

        void onTooLarge();

        /** Reports that there is no memory for the request. */
        void onMemoryFull();

        void onFailure(Throwable cause);
    }

    private BodyReader(Request request, int maxBytes, MemoryBound memory, long nowMillis, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.listener = listener;
        this.startedAtMillis = nowMillis;
        this.headMemory = HttpServer.headMemory(request);
        this.share = memory.open(this);
    }

    /**
     * Returns a reader of a body.
     *
     * @param nowMillis time by the clock of the bound
     */
    static BodyReader of(Request request, int maxBytes, MemoryBound memory, long nowMillis, Listener listener) {
        return new BodyReader(request, maxBytes, memory, nowMillis, listener);
    }

    /** Begins to read; the listener may be called before this returns. */
    void start() {
        if (hold(0)) {
            run();
        }
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    @Override
    public void run() {
        while (reading()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                if (stop()) {
                    listener.onFailure(chunk.getFailure());
                }
                return;
            }
            boolean last = chunk.isLast();
            take(chunk.getByteBuffer());
            chunk.release();
            if (last) {
                complete();
            }
        }
    }

    private void take(ByteBuffer bytes) {
        int more = bytes.remaining();
        if (length + more > maxBytes) {
            if (stop()) {
                listener.onTooLarge();
            }
        } else if (hold(more)) {
            append(bytes);
        }
    }

    private synchronized void append(ByteBuffer bytes) {
        while (reading && bytes.hasRemaining()) {
            int used = length % BLOCK_BYTES;
            if (used == 0) {
                blocks.add(new byte[BLOCK_BYTES]);
            }
            int step = Math.min(bytes.remaining(), BLOCK_BYTES - used);
            bytes.get(blocks.getLast(), used, step);
            length += step;
        }
    }

    /** Accounts for more bytes; ends the request if there is no memory for them. */
    private boolean hold(int more) {
        long blockCount = (length + more + BLOCK_BYTES - 1) / BLOCK_BYTES;
        if (share.tryResize(headMemory + blockCount * BLOCK_BYTES)) {
            return true;
        }
        if (stop()) {
            listener.onMemoryFull();
        }
        return false;
    }

    private void complete() {
        // The body as a whole, and its copy on the way to an agent.
        if (!share.tryResize(headMemory + 2L * length)) {
            if (stop()) {
                listener.onMemoryFull();
            }
            return;
        }
        byte[] body;
        synchronized (this) {
            if (!reading) {
                return;
            }
            reading = false;
            body = new byte[length];
            for (int i = 0; i < blocks.size(); i++) {
                System.arraycopy(
                        blocks.get(i), 0, body, i * BLOCK_BYTES, Math.min(BLOCK_BYTES, length - i * BLOCK_BYTES));
            }
            blocks.clear();
        }
        listener.onBody(body);
    }

    private synchronized boolean reading() {
        return reading;
    }

    /** Stops reading and lets go of what was read; returns whether it had not stopped before. */
    private boolean stop() {
        synchronized (this) {
            if (!reading) {
                return false;
            }
            reading = false;
            blocks.clear();
        }
        share.resize(0);
        return true;
    }

    /** Ends the accounting for the request, when its response has been written or it was refused. */
    void close() {
        stop();
        share.close();
    }

    @Override
    public synchronized long evictableBytes() {
        return reading ? share.bytes() : 0;
    }

    @Override
    public long evictableSinceMillis() {
        return startedAtMillis;
    }

    @Override
    public void evict() {
        if (stop()) {
            listener.onMemoryFull();
        }
    }
}
