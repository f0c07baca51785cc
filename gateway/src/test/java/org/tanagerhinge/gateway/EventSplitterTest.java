package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that are split, lost or repeated when their bytes arrive in arbitrary pieces. */
class EventSplitterTest {
    private record SplitEvent(long id, String text) {}

    private static List<SplitEvent> feed(EventSplitter splitter, String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        List<SplitEvent> events = new ArrayList<>();
        for (EventSplitter.Event event : splitter.feed(bytes)) {
            events.add(new SplitEvent(event.id(), event.bytes().toString(StandardCharsets.UTF_8)));
            event.bytes().release();
        }
        bytes.release();
        return events;
    }

    private static EventSplitter splitter() {
        return new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void eventsAreTheSameForAnyChunking(long seed) {
        Random random = new Random(seed);
        StringBuilder all = new StringBuilder();
        List<SplitEvent> expected = new ArrayList<>();
        for (int i = 1; i <= 200; i++) {
            String end = random.nextBoolean() ? "\n" : "\r\n";
            String event = switch (random.nextInt(3)) {
                case 0 -> "id: " + i + end + "data: é" + "x".repeat(random.nextInt(40)) + end + end;
                case 1 -> "event: piece" + end + "id:" + i + end + "data: id: 7" + end + end;
                default -> ": nothing" + end + "id: " + i + end + end;
            };
            all.append(event);
            expected.add(new SplitEvent(i, event));
        }
        EventSplitter splitter = splitter();
        byte[] bytes = all.toString().getBytes(StandardCharsets.UTF_8);
        List<SplitEvent> events = new ArrayList<>();
        for (int at = 0; at < bytes.length; ) {
            int length = Math.min(bytes.length - at, 1 + random.nextInt(1 + random.nextInt(60)));
            ByteBuf piece = Unpooled.wrappedBuffer(bytes, at, length);
            for (EventSplitter.Event event : splitter.feed(piece)) {
                events.add(new SplitEvent(event.id(), event.bytes().toString(StandardCharsets.UTF_8)));
                event.bytes().release();
            }
            at += length;
        }
        assertEquals(expected, events);
        assertFalse(splitter.hasPartialEvent());
        splitter.release();
    }

    @Test
    void partialEventIsHeldUntilComplete() {
        EventSplitter splitter = splitter();
        assertEquals(List.of(new SplitEvent(1, "id: 1\n\n")), feed(splitter, "id: 1\n\nid: 2\ndata: ha"));
        assertTrue(splitter.hasPartialEvent());
        assertEquals(List.of(new SplitEvent(2, "id: 2\ndata: half\n\n")), feed(splitter, "lf\n\n"));
        assertFalse(splitter.hasPartialEvent());
        splitter.release();
    }

    @Test
    void eventWithoutNumericIdHasIdMinusOne() {
        EventSplitter splitter = splitter();
        assertEquals(List.of(new SplitEvent(-1, "data: x\n\n")), feed(splitter, "data: x\n\n"));
        assertEquals(List.of(new SplitEvent(-1, "id: x\n\n")), feed(splitter, "id: x\n\n"));
        splitter.release();
    }

    @Test
    void unterminatedEventIsOversized() {
        EventSplitter splitter = splitter();
        feed(splitter, "x".repeat((1 << 20) + 1));
        assertTrue(splitter.oversized());
        splitter.release();
    }
}
