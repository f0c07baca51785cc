package org.tanagerhinge.node.settings;

import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Declares one setting of a program: its name, format, default and help text.
 *
 * @param expected description of valid values, for error messages
 * @param parser parses the text; throws IllegalArgumentException if it is invalid
 * @param defaultText text of the default value; empty if the setting is required
 * @param <T> type of the value
 */
public record Setting<T>(
        String section,
        String name,
        String expected,
        Function<String, T> parser,
        Optional<String> defaultText,
        String help) {
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,15}(?:\\.[0-9]{1,9})?) ?(ms|s|m|h)");
    private static final Pattern ADDRESS = Pattern.compile("\\[?([0-9a-fA-F:.]+)]?:([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    /** Returns a setting whose value is any text. */
    public static Setting<String> text(String section, String name, String defaultText, String help) {
        return new Setting<>(section, name, "a text", text -> text, Optional.ofNullable(defaultText), help);
    }

    /** Returns a required setting whose value is an id, checked by its factory. */
    public static <T> Setting<T> id(String section, String name, Function<String, T> factory, String help) {
        return new Setting<>(
                section, name, "1 to 64 letters, digits, '.', '-' or '_'", factory, Optional.empty(), help);
    }

    /** Returns a setting whose value is {@code IP:PORT}; host names are invalid. */
    public static Setting<InetSocketAddress> address(String section, String name, String defaultText, String help) {
        return new Setting<>(
                section,
                name,
                "IP:PORT, for example 127.0.0.1:7700",
                Setting::parseAddress,
                Optional.ofNullable(defaultText),
                help);
    }

    /** Returns an optional setting whose value is {@code IP:PORT}. */
    public static Setting<Optional<InetSocketAddress>> optionalAddress(String section, String name, String help) {
        return new Setting<>(
                section,
                name,
                "IP:PORT, for example 127.0.0.1:7700, or nothing",
                text -> text.isEmpty() ? Optional.empty() : Optional.of(parseAddress(text)),
                Optional.of(""),
                help);
    }

    /** Returns a setting whose value is an integer in an inclusive range. */
    public static Setting<Integer> integer(
            String section, String name, int min, int max, int defaultValue, String help) {
        Function<String, Integer> parser = text -> {
            int value = Integer.parseInt(text);
            if (value < min || value > max) {
                throw new IllegalArgumentException("out of range");
            }
            return value;
        };
        return new Setting<>(
                section,
                name,
                "a whole number from " + min + " to " + max,
                parser,
                Optional.of(Integer.toString(defaultValue)),
                help);
    }

    /** Returns a setting whose value is an integer in an inclusive range, or empty for its default. */
    public static Setting<Integer> optionalInteger(
            String section, String name, int min, int max, int defaultValue, String help) {
        Setting<Integer> required = integer(section, name, min, max, defaultValue, help);
        return new Setting<>(
                section,
                name,
                required.expected() + ", or nothing",
                text -> text.isEmpty() ? defaultValue : required.parser().apply(text),
                required.defaultText(),
                help);
    }

    /** Returns a setting whose value is a number in an inclusive range. */
    public static Setting<Double> number(
            String section, String name, double min, double max, double defaultValue, String help) {
        Function<String, Double> parser = text -> {
            double value = Double.parseDouble(text);
            if (!(value >= min && value <= max)) {
                throw new IllegalArgumentException("out of range");
            }
            return value;
        };
        return new Setting<>(
                section,
                name,
                "a number from " + min + " to " + max,
                parser,
                Optional.of(Double.toString(defaultValue)),
                help);
    }

    /** Returns a setting whose value is a duration, for example {@code 500ms}, {@code 2s}, {@code 5m} or {@code 1h}. */
    public static Setting<Duration> duration(String section, String name, String defaultText, String help) {
        return new Setting<>(
                section,
                name,
                "a duration such as 500ms, 2s, 5m or 1h",
                Setting::parseDuration,
                Optional.of(defaultText),
                help);
    }

    /** Returns a setting whose value is {@code true} or {@code false}. */
    public static Setting<Boolean> flag(String section, String name, boolean defaultValue, String help) {
        Function<String, Boolean> parser = text -> switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException("neither true nor false");
        };
        return new Setting<>(section, name, "true or false", parser, Optional.of(Boolean.toString(defaultValue)), help);
    }

    /** Returns a setting whose value is {@code yes} or {@code no}. */
    public static Setting<Boolean> yesNo(String section, String name, boolean defaultValue, String help) {
        Function<String, Boolean> parser = text -> switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw new IllegalArgumentException("neither yes nor no");
        };
        return new Setting<>(section, name, "yes or no", parser, Optional.of(defaultValue ? "yes" : "no"), help);
    }

    /** Returns a setting whose value is one of an enum's constants, in lower case. */
    public static <T extends Enum<T>> Setting<T> choice(
            String section, String name, Class<T> type, T defaultValue, String help) {
        return new Setting<>(
                section,
                name,
                "one of " + Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT),
                text -> Enum.valueOf(type, text.toUpperCase(Locale.ROOT)),
                Optional.of(defaultValue.name().toLowerCase(Locale.ROOT)),
                help);
    }

    /** Returns a setting whose value is a comma-separated list of an enum's constants; empty by default. */
    public static <T extends Enum<T>> Setting<Set<T>> choices(String section, String name, Class<T> type, String help) {
        Function<String, Set<T>> parser = text -> {
            Set<T> chosen = EnumSet.noneOf(type);
            for (String word : text.split(",", -1)) {
                if (!text.isBlank()) {
                    chosen.add(Enum.valueOf(type, word.strip().toUpperCase(Locale.ROOT)));
                }
            }
            return chosen;
        };
        return new Setting<>(
                section,
                name,
                "any of " + Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT) + ", with commas between",
                parser,
                Optional.of(""),
                help);
    }

    /** Returns the name with its section, for example {@code agent.name}. */
    public String qualifiedName() {
        return section + "." + name;
    }

    private static InetSocketAddress parseAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            throw new IllegalArgumentException("not IP:PORT");
        }
        return new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }

    private static Duration parseDuration(String text) {
        Matcher matcher = DURATION.matcher(text.trim());
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not a duration");
        }
        Duration unit = switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(1);
            case "s" -> Duration.ofSeconds(1);
            case "m" -> Duration.ofMinutes(1);
            default -> Duration.ofHours(1);
        };
        BigDecimal nanos = new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(unit.toNanos()));
        return Duration.ofNanos(nanos.longValue());
    }
}
