package org.tanagerhinge.cli.trace;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import org.tanagerhinge.node.log.LogField;

/**
 * A structured log line of a process.
 *
 * @param text the original JSON text
 * @param fields the parsed fields
 */
public record LogRecord(String text, JsonNode fields) {
    private static final Set<String> OMITTED_FIELDS = Set.of("at", "up", "node", "level", "event", LogField.ID.label());

    /** Returns the wall-clock time of the line in milliseconds; the clocks of hosts may differ or jump. */
    public long wallClockMillis() {
        return fields.path("at").asLong();
    }

    /** Returns the time since the process started in milliseconds, from a steady clock. */
    public long uptimeMillis() {
        return fields.path("up").asLong();
    }

    public String node() {
        return fields.path("node").asText();
    }

    public String event() {
        return fields.path("event").asText();
    }

    /** Returns a field as text, empty if the field is missing. */
    public String text(LogField field) {
        return fields.path(field.label()).asText();
    }

    /** Returns a field as a number, 0 if the field is missing. */
    public long number(LogField field) {
        return fields.path(field.label()).asLong();
    }

    public boolean has(LogField field) {
        return fields.has(field.label());
    }

    /** Returns the line in human-readable form, with its time relative to a start time in wall-clock milliseconds. */
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
