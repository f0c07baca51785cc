package org.tanagerhinge.node.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * Makes one JSON object of each event, its fields flat beside each other.
 *
 * <p>The logging library's own encoder nests fields in a list of objects, which no query tool reads without effort.
 */
final class JsonLineEncoder {
    private static final int MOST_FRAMES = 12;
    private static final int USUAL_BYTES = 512;

    private final JsonFactory factory = new JsonFactory();
    private final long startNanos = System.nanoTime();
    private volatile String node = "";

    /** Sets the name of the process's host, which each line bears. */
    void node(String name) {
        node = name;
    }

    /** Returns the line of an event, with its line break. */
    byte[] encode(ILoggingEvent event) {
        return line(event.getTimeStamp(), event.getLevel().toString(), json -> {
            if (!LogEvent.Subject.LOGGERS.contains(event.getLoggerName())) {
                message(json, event);
                return;
            }
            json.writeStringField("event", event.getMessage());
            List<KeyValuePair> fields = event.getKeyValuePairs();
            for (KeyValuePair field : fields == null ? List.<KeyValuePair>of() : fields) {
                json.writePOJOField(field.key, field.value);
            }
        });
    }

    /** Returns the line that tells how many lines were dropped. */
    byte[] dropped(long count) {
        return line(System.currentTimeMillis(), "WARN", json -> {
            json.writeStringField("event", LogEvent.LOG_DROPPED.label());
            json.writeNumberField(LogField.COUNT.label(), count);
        });
    }

    private byte[] line(long at, String level, Content content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(USUAL_BYTES);
        try (JsonGenerator json = factory.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("at", at);
            json.writeNumberField("up", (System.nanoTime() - startNanos) / 1_000_000);
            json.writeStringField("node", node);
            json.writeStringField("level", level);
            content.write(json);
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Writes the fields of one line that come after those that all have. */
    private interface Content {
        void write(JsonGenerator json) throws IOException;
    }

    private static void message(JsonGenerator json, ILoggingEvent event) throws IOException {
        json.writeStringField("event", "message");
        json.writeStringField("logger", event.getLoggerName());
        json.writeStringField("message", event.getFormattedMessage());
        IThrowableProxy thrown = event.getThrowableProxy();
        if (thrown == null) {
            return;
        }
        json.writeStringField("error", thrown.getClassName() + ": " + thrown.getMessage());
        json.writeArrayFieldStart("frames");
        StackTraceElementProxy[] frames = thrown.getStackTraceElementProxyArray();
        for (int i = 0; i < Math.min(MOST_FRAMES, frames.length); i++) {
            json.writeString(frames[i].getStackTraceElement().toString());
        }
        json.writeEndArray();
    }
}
