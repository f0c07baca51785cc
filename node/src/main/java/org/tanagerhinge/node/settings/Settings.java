package org.tanagerhinge.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagerhinge.core.text.NameSuggestion;

/**
 * Holds the validated settings of one program.
 *
 * <p>All problems are reported together, so that an operator can correct a file in one pass, and a program with an
 * invalid setting does not start.
 */
public final class Settings {
    private final Map<Setting<?>, Object> values;

    private Settings(Map<Setting<?>, Object> values) {
        this.values = values;
    }

    /**
     * Reads and validates a file.
     *
     * @param overrides values by {@code section.name} that take precedence over the file's
     */
    public static Settings load(Path file, Map<String, String> overrides, List<Setting<?>> declared)
            throws InvalidSettingsException {
        try {
            return parse(file.toString(), Files.readString(file), overrides, declared);
        } catch (IOException e) {
            throw new InvalidSettingsException(file.toString(), List.of("cannot be read: " + e.getMessage()));
        }
    }

    /** Parses and validates a text; {@code fileName} is used in messages. */
    public static Settings parse(String fileName, String text, Map<String, String> overrides, List<Setting<?>> declared)
            throws InvalidSettingsException {
        Map<String, IniParser.Value> fileValues = IniParser.parse(fileName, text);
        Map<String, String> given = new LinkedHashMap<>();
        fileValues.forEach((path, value) -> given.put(path, value.text()));
        List<String> problems = new ArrayList<>();
        given.putAll(overrides);
        List<String> qualifiedNames =
                declared.stream().map(Setting::qualifiedName).toList();
        for (String path : given.keySet()) {
            if (!qualifiedNames.contains(path)) {
                problems.add(location(path, fileValues) + "no such setting"
                        + NameSuggestion.didYouMean(path, qualifiedNames));
            }
        }
        Map<Setting<?>, Object> values = new IdentityHashMap<>();
        for (Setting<?> setting : declared) {
            String value = given.getOrDefault(
                    setting.qualifiedName(), setting.defaultText().orElse(null));
            if (value == null) {
                problems.add(setting.qualifiedName() + " is missing: expected " + setting.expected() + " ("
                        + setting.help() + ")");
                continue;
            }
            try {
                values.put(setting, setting.parser().apply(value));
            } catch (IllegalArgumentException e) {
                problems.add(location(setting.qualifiedName(), fileValues) + "'" + value + "': expected "
                        + setting.expected());
            }
        }
        if (!problems.isEmpty()) {
            throw new InvalidSettingsException(fileName, problems);
        }
        return new Settings(values);
    }

    /** Returns the value of a setting that the program declared. */
    @SuppressWarnings("unchecked")
    public <T> T value(Setting<T> setting) {
        Object value = values.get(setting);
        if (value == null) {
            throw new IllegalArgumentException(setting.qualifiedName() + " was not declared by this program");
        }
        return (T) value;
    }

    private static String location(String qualifiedName, Map<String, IniParser.Value> fileValues) {
        IniParser.Value value = fileValues.get(qualifiedName);
        return (value == null ? "" : "line " + value.lineNumber() + ": ") + qualifiedName + ": ";
    }
}
