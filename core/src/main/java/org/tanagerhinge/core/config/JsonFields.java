package org.tanagerhinge.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.tanagerhinge.core.text.NameSuggestion;

/** Reads the fields of one JSON object and collects all problems, so that they are reported together. */
final class JsonFields {
    /** Far more than there are edits; each may still be followed by another, and a double holds it exactly. */
    private static final long MAX_REVISION = 1L << 52;
    /** Maximum number of problems that are reported together. */
    static final int MAX_PROBLEMS = 100;

    private static final int MAX_PROBLEM_CHARS = 400;
    /** Maximum length of an invalid value in the description of a problem. */
    private static final int MAX_SHOWN_CHARS = 40;

    private final JsonNode node;
    private final String path;
    private final List<String> problems;
    private final Set<String> knownFields = new TreeSet<>();

    JsonFields(JsonNode node, String path, List<String> problems) {
        this.node = node;
        this.path = path;
        this.problems = problems;
    }

    <T> T id(String field, Function<String, T> factory) {
        String text = string(field, "");
        try {
            return factory.apply(text);
        } catch (IllegalArgumentException e) {
            addProblem(field, e.getMessage());
            return null;
        }
    }

    String string(String field, String defaultValue) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isTextual()) {
            addProblem(field, shown(value) + ": expected a string");
            return defaultValue;
        }
        return value.asText();
    }

    List<String> strings(String field) {
        knownFields.add(field);
        List<String> values = new ArrayList<>();
        JsonNode array = node.path(field);
        if (!array.isMissingNode() && !array.isArray()) {
            addProblem(field, shown(array) + ": expected an array of strings");
        }
        array.forEach(item -> values.add(item.asText()));
        return values;
    }

    /** Returns the objects of an array. */
    List<JsonNode> objects(String field) {
        knownFields.add(field);
        List<JsonNode> objects = new ArrayList<>();
        JsonNode array = node.path(field);
        if (!array.isMissingNode() && !array.isArray()) {
            addProblem(field, shown(array) + ": expected an array of objects");
        }
        for (JsonNode item : array) {
            if (item.isObject()) {
                objects.add(item);
            } else {
                addProblem(field, shown(item) + ": expected an object");
            }
        }
        return objects;
    }

    boolean bool(String field, boolean defaultValue) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            addProblem(field, shown(value) + ": expected true or false");
        }
        return value.asBoolean();
    }

    double number(String field, double min, double max, double defaultValue) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            addProblem(field, shown(value) + ": expected a number from " + plain(min) + " to " + plain(max));
            return defaultValue;
        }
        return value.asDouble();
    }

    int integer(String field, int min, int max, int defaultValue) {
        double value = number(field, min, max, defaultValue);
        if (value != Math.rint(value)) {
            addProblem(field, value + ": expected an integer");
        }
        return (int) value;
    }

    /** Returns the revision of a document, 0 if it has none. */
    long revision() {
        return (long) number("revision", 0, MAX_REVISION, 0);
    }

    Duration millis(String field, long min, long max, long defaultValue) {
        return Duration.ofMillis((long) number(field, min, max, defaultValue));
    }

    <T extends Enum<T>> T enumLabel(String field, Class<T> type, T defaultValue) {
        String text = string(field, defaultValue.name().toLowerCase(Locale.ROOT));
        List<String> known = Arrays.stream(type.getEnumConstants())
                .map(value -> value.name().toLowerCase(Locale.ROOT))
                .toList();
        int index = known.indexOf(text);
        if (index < 0) {
            addProblem(
                    field,
                    "'" + shortened(text) + "': expected one of " + known + NameSuggestion.didYouMean(text, known));
            return defaultValue;
        }
        return type.getEnumConstants()[index];
    }

    /** Reports the fields that were not read as unknown. */
    void rejectUnknownFields() {
        node.fieldNames().forEachRemaining(field -> {
            if (!knownFields.contains(field)) {
                addProblem(shortened(field), "unknown field" + NameSuggestion.didYouMean(field, knownFields));
            }
        });
    }

    private void addProblem(String field, String description) {
        addProblem(problems, path + "." + field + ": " + description);
    }

    /** Adds a problem unless there are many: a document may have as many as it has bytes. */
    static void addProblem(List<String> problems, String problem) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(
                    problem.length() > MAX_PROBLEM_CHARS ? problem.substring(0, MAX_PROBLEM_CHARS) + "..." : problem);
        }
    }

    /** Returns a value for a message, whatever its size. */
    private static String shown(JsonNode value) {
        return value.isContainerNode()
                ? "an " + value.getNodeType().name().toLowerCase(Locale.ROOT)
                : shortened(value.toString());
    }

    private static String shortened(String text) {
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
