package org.tanagerhinge.node.log;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Builds one structured log line about an event.
 *
 * <p>{@code System.Logger} has no structured fields, so these lines go directly to the appender; the logging library
 * only decides which levels are enabled. Lines contain ids, names, numbers and reasons, and never keys or bodies.
 */
public final class LogLine {
    private static final Map<LogEvent.Subject, Logger> LOGGERS = new EnumMap<>(LogEvent.Subject.class);

    static {
        for (LogEvent.Subject subject : LogEvent.Subject.values()) {
            LOGGERS.put(subject, LoggerFactory.getLogger(subject.loggerName()));
        }
    }

    /** Ignores the fields of a line whose level is disabled. */
    private static final LogLine DISABLED = new LogLine(null, false);

    private final StringBuilder text;
    private final boolean failure;

    private LogLine(StringBuilder text, boolean failure) {
        this.text = text;
        this.failure = failure;
    }

    /** Starts a line about an ordinary event. */
    public static LogLine of(LogEvent event) {
        return of(event, false);
    }

    /** Starts a line about a failure, which is dropped later than others when there are too many lines. */
    public static LogLine failure(LogEvent event) {
        return of(event, true);
    }

    /** Starts a line that is about a failure or not. */
    public static LogLine of(LogEvent event, boolean failure) {
        Level level = failure ? Level.WARN : Level.INFO;
        if (!LOGGERS.get(event.subject()).isEnabledForLevel(level)) {
            return DISABLED;
        }
        return new LogLine(LogSetup.begin(level.toString(), event), failure);
    }

    /** Adds a field. */
    public LogLine with(LogField field, String value) {
        if (text != null) {
            JsonLineEncoder.field(text, field.label(), value);
        }
        return this;
    }

    /** Adds a field. */
    public LogLine with(LogField field, long value) {
        if (text != null) {
            JsonLineEncoder.field(text, field.label(), value);
        }
        return this;
    }

    /** Adds a field. */
    public LogLine with(LogField field, boolean value) {
        if (text != null) {
            JsonLineEncoder.field(text, field.label(), value);
        }
        return this;
    }

    /** Writes the line, or drops and counts it when there are too many lines. */
    public void write() {
        if (text != null) {
            LogSetup.write(JsonLineEncoder.end(text), failure);
        }
    }
}
