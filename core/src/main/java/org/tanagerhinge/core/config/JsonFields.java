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
            addProblem(field, value + ": expected a string");
            return defaultValue;
        }
        return value.asText();
    }

    List<String> strings(String field) {
        knownFields.add(field);
        List<String> values = new ArrayList<>();
        JsonNode array = node.path(field);
        if (!array.isMissingNode() && !array.isArray()) {
            addProblem(field, array + ": expected an array of strings");
        }
        array.forEach(item -> values.add(item.asText()));
        return values;
    }

    boolean bool(String field, boolean defaultValue) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            addProblem(field, value + ": expected true or false");
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
            addProblem(field, value + ": expected a number from " + plain(min) + " to " + plain(max));
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
            addProblem(field, "'" + text + "': expected one of " + known + NameSuggestion.didYouMean(text, known));
            return defaultValue;
        }
        return type.getEnumConstants()[index];
    }

    /** Reports the fields that were not read as unknown. */
    void rejectUnknownFields() {
        node.fieldNames().forEachRemaining(field -> {
            if (!knownFields.contains(field)) {
                addProblem(field, "unknown field" + NameSuggestion.didYouMean(field, knownFields));
            }
        });
    }

    private void addProblem(String field, String description) {
        problems.add(path + "." + field + ": " + description);
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
