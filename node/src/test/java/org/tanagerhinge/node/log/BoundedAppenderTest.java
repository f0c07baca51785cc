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
import org.slf4j.event.KeyValuePair;

/** The log never holds the thread that serves, stays within its volume, and tells what it dropped. */
class BoundedAppenderTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final int BURST = 20_000;

    private final LoggerContext context = new LoggerContext();
    private final Logger logger = context.getLogger(LogEvent.Subject.REQUEST.logger());

    private LoggingEvent event(Level level, int number) {
        LoggingEvent event = new LoggingEvent("", logger, level, LogEvent.SENT.label(), null, null);
        event.addKeyValuePair(new KeyValuePair(LogField.ID.label(), "request-" + number));
        event.addKeyValuePair(new KeyValuePair(LogField.ATTEMPT.label(), 1L));
        event.addKeyValuePair(new KeyValuePair(LogField.LATE.label(), true));
        return event;
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

    /** A stream whose reader has stopped until it is let go on. */
    private static final class FullPipe extends OutputStream {
        private final CountDownLatch begun = new CountDownLatch(1);
        private final CountDownLatch goesOn = new CountDownLatch(1);
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int b) {
            throw new UnsupportedOperationException("lines are written whole");
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            begun.countDown();
            try {
                assertTrue(goesOn.await(PATIENCE.toSeconds(), TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            written.write(bytes, from, length);
        }
    }

    @Test
    void aLineIsOneObjectWithItsFieldsBesideEachOther() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        JsonLineEncoder encoder = new JsonLineEncoder();
        encoder.node("host-1");
        BoundedAppender appender = BoundedAppender.to(written, encoder);
        appender.start();
        appender.doAppend(event(Level.WARN, 7));
        appender.flush(PATIENCE);
        JsonNode line = lines(written).get(0);
        assertEquals("host-1", line.path("node").asText());
        assertEquals("WARN", line.path("level").asText());
        assertEquals("sent", line.path("event").asText());
        assertEquals("request-7", line.path("id").asText());
        assertTrue(line.path("attempt").isIntegralNumber());
        assertTrue(line.path("late").isBoolean());
    }

    /**
     * Symptom: all requests of a node stood still at once. Events: the collector of the logs stops reading, the pipe
     * fills. Cause: a line was written by the thread that serves, which the full pipe held.
     */
    @Test
    void aReaderThatHasStoppedHoldsNobodyAndIsToldWhatItMissed() throws InterruptedException {
        FullPipe pipe = new FullPipe();
        BoundedAppender appender = BoundedAppender.to(pipe, new JsonLineEncoder());
        appender.start();
        appender.doAppend(event(Level.INFO, -1));
        assertTrue(pipe.begun.await(PATIENCE.toSeconds(), TimeUnit.SECONDS), "the writer is held by now");
        for (int i = 0; i < BURST; i++) {
            appender.doAppend(event(Level.INFO, i));
        }
        long dropped = appender.dropped();
        assertTrue(dropped > 0);
        pipe.goesOn.countDown();
        appender.flush(PATIENCE);
        List<JsonNode> lines = lines(pipe.written);
        long told = lines.stream()
                .filter(line -> line.path("event").asText().equals(LogEvent.LOG_DROPPED.label()))
                .mapToLong(line -> line.path("count").asLong())
                .sum();
        assertEquals(dropped, told);
        long sent = lines.stream()
                .filter(line -> line.path("event").asText().equals("sent"))
                .count();
        assertEquals(BURST + 1, sent + dropped);
    }

    /** Load: far more lines at once than the volume allows; then one about a failure. */
    @Test
    void volumeIsBoundedAndLinesAboutFailuresAreDroppedLast() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        BoundedAppender appender = BoundedAppender.to(written, new JsonLineEncoder());
        appender.start();
        long began = System.nanoTime();
        for (int i = 0; i < BURST; i++) {
            appender.doAppend(event(Level.INFO, i));
        }
        appender.doAppend(event(Level.WARN, BURST));
        double seconds = (System.nanoTime() - began) / 1e9;
        appender.flush(PATIENCE);
        assertTrue(appender.dropped() > 0);
        assertTrue(written.size() <= BoundedAppender.BYTES_A_SECOND * (1 + seconds) + 1_000, written.size() + " bytes");
        assertTrue(written.toString(StandardCharsets.UTF_8).contains("request-" + BURST), "the failure was kept");
    }
}
