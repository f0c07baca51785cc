package org.tanagerhinge.node.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses INI text into values by {@code section.name}, with their line numbers.
 *
 * <p>Accepts sections in brackets, {@code name = value}, and comments that start with {@code #} or {@code ;} at the
 * beginning of a line or after whitespace behind a value. A value that contains such characters, or begins or ends with
 * whitespace, is put in double quotes.
 *
 * <p>It replaces an INI library that took a tenth of the processor time until a restarted gateway serves, and that
 * reported no line numbers.
 */
final class IniParser {
    /**
     * A value and where it was found.
     *
     * @param lineNumber counted from 1
     */
    record Value(String text, int lineNumber) {}

    private IniParser() {}

    /** Parses a text; of a name that is given twice, the first value counts. */
    static Map<String, Value> parse(String name, String text) throws InvalidSettingsException {
        Map<String, Value> values = new LinkedHashMap<>();
        String section = "";
        int lineNumber = 0;
        for (String rawLine : text.split("\n", -1)) {
            lineNumber++;
            String line = rawLine.strip();
            if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                continue;
            }
            int equals = line.indexOf('=');
            if (line.startsWith("[") && line.endsWith("]")) {
                section = line.substring(1, line.length() - 1).strip() + ".";
            } else if (equals > 0) {
                String key = section + line.substring(0, equals).strip();
                values.putIfAbsent(
                        key, new Value(value(line.substring(equals + 1).strip()), lineNumber));
            } else {
                throw new InvalidSettingsException(
                        name,
                        List.of("line " + lineNumber + ": '" + line
                                + "': expected [section], name = value or a comment"));
            }
        }
        return values;
    }

    private static String value(String text) {
        if (text.startsWith("\"")) {
            int end = text.indexOf('"', 1);
            return end < 0 ? text : text.substring(1, end);
        }
        for (int i = 1; i < text.length(); i++) {
            boolean comment = text.charAt(i) == '#' || text.charAt(i) == ';';
            if (comment && Character.isWhitespace(text.charAt(i - 1))) {
                return text.substring(0, i).strip();
            }
        }
        return text;
    }
}
