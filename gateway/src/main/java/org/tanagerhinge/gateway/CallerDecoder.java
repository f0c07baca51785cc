package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tanagerhinge.node.http.Lines;

/**
 * Decodes the requests of one caller connection. What follows a request stays undecoded until its response is written, and a
 * request that takes long to decode takes turns with others.
 */
final class CallerDecoder extends HttpRequestDecoder implements Runnable {
    /** Limit of the base class, which a request doesn't reach: heads are bounded by the limits of the configuration. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    private static final int MAX_CHUNK_BYTES = 16_384;
    /** Bytes of the frame of a chunk, or of trailers, that are not worth accounting for. */
    private static final int MIN_COUNTED_BYTES = 256;
    /** Time that a request may take to be decoded before it takes turns with others. */
    private static final long FREE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final CallerConnection connection;
    private final DecodingTurns turns;
    private ChannelHandlerContext context;
    private boolean decoding;
    private boolean awaitingTurn;
    private long spentNanos;
    private int incompleteBytes;
    private int incompleteLines;

    CallerDecoder(CallerConnection connection, DecodingTurns turns) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_LINE_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
        this.connection = connection;
        this.turns = turns;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) throws Exception {
        super.handlerAdded(added);
        context = added;
    }

    /** Returns the number of bytes that were read and not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns whether the connection waits for its turn to be decoded. */
    boolean awaitingTurn() {
        return awaitingTurn;
    }

    /** Goes on with bytes that were left undecoded. */
    void resume() throws Exception {
        if (!decoding && !awaitingTurn && actualReadableBytes() > 0) {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        long startedNanos = System.nanoTime();
        decoding = true;
        try {
            super.channelRead(ctx, message);
        } finally {
            decoding = false;
        }
        if (!ctx.isRemoved()) {
            takeTurns(System.nanoTime() - startedNanos);
            connection.bytesRead();
        }
    }

    private void takeTurns(long nanos) {
        if (!connection.readsRequest()) {
            endTurns();
            return;
        }
        spentNanos += nanos;
        if (spentNanos > FREE_NANOS && !turns.spend(this, nanos) && !awaitingTurn) {
            awaitingTurn = true;
            turns.await(this);
        }
    }

    /** Leaves the turns when the request is complete or the connection has ended. */
    void endTurns() {
        if (spentNanos > FREE_NANOS) {
            turns.leave(this);
        }
        spentNanos = 0;
    }

    /** Goes on with decoding when it is this connection's turn. */
    @Override
    public void run() {
        awaitingTurn = false;
        connection.resumeReading();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (awaitingTurn || !connection.takesInput()) {
            return;
        }
        int start = in.readerIndex();
        int objects = out.size();
        super.decode(ctx, in, out);
        if (out.size() == objects) {
            countLines(in, start);
            if (incompleteBytes >= (connection.awaitsHead() ? 1 : MIN_COUNTED_BYTES)) {
                connection.holdHead(incompleteBytes, incompleteLines);
            }
        } else {
            if (out.get(objects) instanceof HttpRequest) {
                countLines(in, start);
                connection.holdHead(incompleteBytes, incompleteLines);
            }
            incompleteBytes = 0;
            incompleteLines = 0;
        }
    }

    /** Counts what was decoded since an index and is held until its message is complete. */
    private void countLines(ByteBuf in, int start) {
        int end = in.readerIndex();
        incompleteBytes += end - start;
        incompleteLines += Lines.count(in, start, end);
    }
}
