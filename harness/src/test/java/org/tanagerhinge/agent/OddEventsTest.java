package org.tanagerhinge.agent;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.bench.OddValues;
import org.tanagerhinge.bench.SmallStack;

/** Parses odd events of engines: none ends the agent or uses much memory. */
class OddEventsTest {
    private static final byte[] LINE_END = {'\n'};

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void eventsAreParsedOrMalformed() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("system_fingerprint", "\"v1\"");
        fields.put("choices", "[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]");
        List<byte[]> events = OddValues.variants(fields, List.of(), 67);
        SmallStack.decodeAll(events, IllegalStateException.class, event -> {
            CompletionStreamParser parser = new CompletionStreamParser();
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            line.writeBytes(bytes("data: "));
            line.writeBytes(event);
            line.writeBytes(LINE_END);
            parser.feed(line.toByteArray());
            assertTrue(parser.takeOutput().tokens() <= 2);
        });
    }

    /** Guards against an engine that fills the agent's memory with one line. */
    @Test
    void lineWithoutEndIsMalformedAndNotKept() {
        CompletionStreamParser parser = new CompletionStreamParser();
        byte[] part = bytes("data: " + "a".repeat(1 << 20));
        long before = usedMemory();
        for (int i = 0; i < 128; i++) {
            parser.feed(part);
        }
        assertTrue(usedMemory() - before < 64L << 20, "bytes kept: " + (usedMemory() - before));
        parser.feed(bytes("\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\ndata: [DONE]\n"));
        assertFalse(parser.isComplete());
    }

    private static long usedMemory() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
