package org.tanagerhinge.cli.trace;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import org.tanagerhinge.node.log.LogField;

/**
 * One line of a process's log.
 *
 * @param text the JSON as it was written
 * @param fields its fields
 */
public record LogRecord(String text, JsonNode fields) {
    private static final Set<String> OMITTED_FIELDS = Set.of("at", "up", "node", "level", "event", LogField.ID.label());

    /** Returns the time of day at which it was written, in milliseconds; clocks of two hosts may differ. */
    public long wallClockMillis() {
        return fields.path("at").asLong();
    }

    /** Returns the time since its process started, in milliseconds; it never jumps. */
    public long uptimeMillis() {
        return fields.path("up").asLong();
    }

    public String node() {
        return fields.path("node").asText();
    }

    public String event() {
        return fields.path("event").asText();
    }

    /** Returns a field as text, empty if the line hasn't it. */
    public String text(LogField field) {
        return fields.path(field.label()).asText();
    }

    /** Returns a field as a number, 0 if the line hasn't it. */
    public long number(LogField field) {
        return fields.path(field.label()).asLong();
    }

    public boolean has(LogField field) {
        return fields.has(field.label());
    }

    /** Returns the line as a person reads it, its time counted from another one's. */
    public String format(long startMillis) {
        StringJoiner otherFields = new StringJoiner(" ");
        for (Map.Entry<String, JsonNode> field : fields.properties()) {
            if (!OMITTED_FIELDS.contains(field.getKey())) {
                otherFields.add(field.getKey() + "=" + field.getValue().asText());
            }
        }
        return String.format(
                Locale.ROOT,
                "%+8.3f s  %-20s %-15s %s",
                (wallClockMillis() - startMillis) / 1000.0,
                node(),
                event(),
                otherFields);
    }
}
