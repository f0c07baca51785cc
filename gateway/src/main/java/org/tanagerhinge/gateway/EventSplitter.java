package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>A server may crash in the middle of an event. If the first part were forwarded, the caller would join it with the
 * first event after a resume, so only complete events are returned.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    /** Maximum size of an event; a larger one is treated as malformed. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteBuf pending;
    private int scannedBytes;
    private boolean lineIsEmpty = true;

    EventSplitter(ByteBufAllocator allocator) {
        pending = allocator.heapBuffer(256);
    }

    /** Holds a complete event with the blank line that ends it; {@code id} is -1 if it has no numeric id. */
    record Event(long id, ByteBuf bytes) {}

    /**
     * Adds bytes, which remain owned by the caller.
     *
     * @return the events that are complete now; the receiver releases the bytes of each
     */
    List<Event> feed(ByteBuf bytes) {
        pending.writeBytes(bytes);
        List<Event> events = new ArrayList<>();
        int start = pending.readerIndex();
        for (int i = start + scannedBytes; i < pending.writerIndex(); i++) {
            byte b = pending.getByte(i);
            if (b == '\n') {
                if (lineIsEmpty && i > start) {
                    int length = i + 1 - pending.readerIndex();
                    long id = idOf(pending.readerIndex(), length);
                    events.add(new Event(id, pending.readBytes(length)));
                }
                lineIsEmpty = true;
            } else if (b != '\r') {
                lineIsEmpty = false;
            }
        }
        scannedBytes = pending.readableBytes();
        pending.discardSomeReadBytes();
        return events;
    }

    /** Returns whether the start of an incomplete event is buffered. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Returns whether the buffered bytes exceed the maximum size of an event. */
    boolean oversized() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns the memory that the buffered bytes take. */
    int heldBytes() {
        return pending.capacity();
    }

    void release() {
        pending.release();
    }

    private long idOf(int from, int length) {
        int line = from;
        int end = from + length;
        while (line < end) {
            int next = line;
            while (next < end && pending.getByte(next) != '\n') {
                next++;
            }
            if (next - line > ID_FIELD.length && startsWithId(line)) {
                return number(line + ID_FIELD.length, next);
            }
            line = next + 1;
        }
        return -1;
    }

    private boolean startsWithId(int at) {
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (pending.getByte(at + i) != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    private long number(int from, int to) {
        String text =
                pending.toString(from, to - from, StandardCharsets.US_ASCII).trim();
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
