package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts the bytes of an event stream into whole events.
 *
 * <p>A server may end in the midst of an event. Were its first half passed on, the caller would join it with the event
 * that comes after a resume; so only whole events leave here.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    /** An event that is larger than this is taken for garbage, in bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteBuf pending;
    private int scannedBytes;
    private boolean lineIsEmpty = true;

    EventSplitter(ByteBufAllocator allocator) {
        pending = allocator.heapBuffer(256);
    }

    /** A whole event with the blank line that ends it; {@code id} is -1 if it has none. */
    record Event(long id, ByteBuf bytes) {}

    /**
     * Takes more bytes, which stay the caller's.
     *
     * @return the events that are whole now; each one's bytes are the receiver's to release
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

    /** Returns whether a part of an event is left that has no end yet. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Returns whether what came is too large to be an event. */
    boolean oversized() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
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
