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
 * The checked settings of one program.
 *
 * <p>All problems are found and reported together, so that a half-configured program never starts and an operator need
 * not mend a file one error at a time.
 */
public final class Settings {
    private final Map<Setting<?>, Object> values;

    private Settings(Map<Setting<?>, Object> values) {
        this.values = values;
    }

    /**
     * Reads and checks a file.
     *
     * @param overrides texts by {@code section.name} that go before the file's
     */
    public static Settings load(Path file, Map<String, String> overrides, List<Setting<?>> known)
            throws InvalidSettingsException {
        try {
            return parse(file.toString(), Files.readString(file), overrides, known);
        } catch (IOException e) {
            throw new InvalidSettingsException(file.toString(), List.of("cannot be read: " + e.getMessage()));
        }
    }

    /** Checks a text; {@code name} is used in messages. */
    public static Settings parse(String name, String text, Map<String, String> overrides, List<Setting<?>> known)
            throws InvalidSettingsException {
        Map<String, IniText.Value> lines = IniText.read(name, text);
        Map<String, String> given = new LinkedHashMap<>();
        lines.forEach((path, value) -> given.put(path, value.text()));
        List<String> problems = new ArrayList<>();
        given.putAll(overrides);
        List<String> paths = known.stream().map(Setting::path).toList();
        for (String path : given.keySet()) {
            if (!paths.contains(path)) {
                problems.add(where(path, lines) + "no such setting" + NameSuggestion.didYouMean(path, paths));
            }
        }
        Map<Setting<?>, Object> values = new IdentityHashMap<>();
        for (Setting<?> setting : known) {
            String value = given.getOrDefault(setting.path(), setting.absent().orElse(null));
            if (value == null) {
                problems.add(
                        setting.path() + " is missing: expected " + setting.expected() + " (" + setting.help() + ")");
                continue;
            }
            try {
                values.put(setting, setting.parser().apply(value));
            } catch (IllegalArgumentException e) {
                problems.add(where(setting.path(), lines) + "'" + value + "': expected " + setting.expected());
            }
        }
        if (!problems.isEmpty()) {
            throw new InvalidSettingsException(name, problems);
        }
        return new Settings(values);
    }

    /** Returns the value of a setting that the program declared. */
    @SuppressWarnings("unchecked")
    public <T> T value(Setting<T> setting) {
        Object value = values.get(setting);
        if (value == null) {
            throw new IllegalArgumentException(setting.path() + " was not declared by this program");
        }
        return (T) value;
    }

    private static String where(String path, Map<String, IniText.Value> lines) {
        IniText.Value value = lines.get(path);
        return (value == null ? "" : "line " + value.line() + ": ") + path + ": ";
    }
}
