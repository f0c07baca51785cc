package org.tanagerhinge.node.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Log lines never block the calling thread, stay within the rate limit, and dropped lines are reported. */
class BoundedAppenderTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int BURST_LINES = 20_000;

    private static void write(BoundedAppender appender, JsonLineEncoder encoder, boolean failure, int number) {
        StringBuilder line = encoder.begin(0, failure ? "WARN" : "INFO", LogEvent.SENT.label());
        JsonLineEncoder.field(line, LogField.ID.label(), "request-" + number);
        JsonLineEncoder.field(line, LogField.ATTEMPT.label(), 1L);
        JsonLineEncoder.field(line, LogField.LATE.label(), true);
        appender.write(JsonLineEncoder.end(line), failure);
    }

    private static List<JsonNode> lines(ByteArrayOutputStream written) {
        return written.toString(StandardCharsets.UTF_8)
                .lines()
                .map(line -> {
                    try {
                        return JSON.readTree(line);
                    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                        throw new AssertionError(line, e);
                    }
                })
                .toList();
    }

    /** A stream whose writes block until it is unblocked, like a full pipe. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch writeStarted = new CountDownLatch(1);
        private final CountDownLatch unblocked = new CountDownLatch(1);
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int b) {
            throw new UnsupportedOperationException("lines are written in batches");
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            writeStarted.countDown();
            try {
                assertTrue(unblocked.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            written.write(bytes, from, length);
        }
    }

    @Test
    void writesLineAsOneFlatJsonObject() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        JsonLineEncoder encoder = new JsonLineEncoder();
        encoder.node("host-1");
        BoundedAppender appender = BoundedAppender.to(written, encoder);
        appender.start();
        write(appender, encoder, true, 7);
        appender.flush(TIMEOUT);
        JsonNode line = lines(written).get(0);
        assertEquals("host-1", line.path("node").asText());
        assertEquals("WARN", line.path("level").asText());
        assertEquals("sent", line.path("event").asText());
        assertEquals("request-7", line.path("id").asText());
        assertTrue(line.path("attempt").isIntegralNumber());
        assertTrue(line.path("late").isBoolean());
    }

    @ParameterizedTest
    @ValueSource(strings = {"plain", "with \"quotes\" and \\ backslash", "line\nbreak\ttab", "\u0001", "Färgkort 大"})
    void escapedTextParsesBackUnchanged(String text) {
        JsonLineEncoder encoder = new JsonLineEncoder();
        StringBuilder line = encoder.begin(0, "INFO", LogEvent.SENT.label());
        JsonLineEncoder.field(line, LogField.WHY.label(), text);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        written.writeBytes(JsonLineEncoder.end(line));
        assertEquals(text, lines(written).get(0).path("why").asText());
    }

    /** Guards against plain messages that lose their logger, text, exception or stack frames. */
    @Test
    void messageLineHasLoggerAndException() {
        LoggerContext context = new LoggerContext();
        Logger logger = context.getLogger("org.example");
        IllegalStateException thrown = new IllegalStateException("broken");
        LoggingEvent event = new LoggingEvent("", logger, Level.ERROR, "it is {}", thrown, new Object[] {"bad"});
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        BoundedAppender appender = BoundedAppender.to(written, new JsonLineEncoder());
        appender.start();
        appender.doAppend(event);
        appender.flush(TIMEOUT);
        JsonNode line = lines(written).get(0);
        assertEquals("message", line.path("event").asText());
        assertEquals("org.example", line.path("logger").asText());
        assertEquals("it is bad", line.path("message").asText());
        assertEquals(
                "java.lang.IllegalStateException: broken", line.path("error").asText());
        assertTrue(line.path("frames").size() > 0);
    }

    /** Guards against requests that block on a full log pipe whose reader has stopped. */
    @Test
    void doesNotBlockOnStoppedReaderAndReportsDroppedLines() throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        JsonLineEncoder encoder = new JsonLineEncoder();
        BoundedAppender appender = BoundedAppender.to(stream, encoder);
        appender.start();
        write(appender, encoder, false, -1);
        assertTrue(
                stream.writeStarted.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS), "the writer did not start to write");
        for (int i = 0; i < BURST_LINES; i++) {
            write(appender, encoder, false, i);
        }
        long dropped = appender.dropped();
        assertTrue(dropped > 0);
        stream.unblocked.countDown();
        appender.flush(TIMEOUT);
        List<JsonNode> lines = lines(stream.written);
        long reported = lines.stream()
                .filter(line -> line.path("event").asText().equals(LogEvent.LOG_DROPPED.label()))
                .mapToLong(line -> line.path("count").asLong())
                .sum();
        assertEquals(dropped, reported);
        long sent = lines.stream()
                .filter(line -> line.path("event").asText().equals("sent"))
                .count();
        assertEquals(BURST_LINES + 1, sent + dropped);
    }

    /** Guards against a burst of lines that exceeds the rate limit or displaces a later line about a failure. */
    @Test
    void boundsVolumeAndDropsFailureLinesLast() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        JsonLineEncoder encoder = new JsonLineEncoder();
        BoundedAppender appender = BoundedAppender.to(written, encoder);
        appender.start();
        long startedNanos = System.nanoTime();
        for (int i = 0; i < BURST_LINES; i++) {
            write(appender, encoder, false, i);
        }
        write(appender, encoder, true, BURST_LINES);
        double seconds = (System.nanoTime() - startedNanos) / 1e9;
        appender.flush(TIMEOUT);
        assertTrue(appender.dropped() > 0);
        assertTrue(
                written.size() <= BoundedAppender.MAX_BYTES_PER_SECOND * (1 + seconds) + 1_000,
                written.size() + " bytes");
        assertTrue(
                written.toString(StandardCharsets.UTF_8).contains("request-" + BURST_LINES),
                "the line about the failure was dropped");
    }
}
