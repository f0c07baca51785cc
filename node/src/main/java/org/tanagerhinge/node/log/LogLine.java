package org.tanagerhinge.node.log;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * One line about one decision, with fixed field names.
 *
 * <p>{@code System.Logger} carries texts only, so these lines are written as they are built; the logging library says which
 * are wanted. Ids, names, numbers and reasons go into lines; keys and bodies never.
 */
public final class LogLine {
    private static final Map<LogEvent.Subject, Logger> LOGGERS = new EnumMap<>(LogEvent.Subject.class);

    static {
        for (LogEvent.Subject subject : LogEvent.Subject.values()) {
            LOGGERS.put(subject, LoggerFactory.getLogger(subject.loggerName()));
        }
    }

    /** Takes the fields of lines that nobody wants. */
    private static final LogLine DISABLED = new LogLine(null, false);

    private final StringBuilder text;
    private final boolean failure;

    private LogLine(StringBuilder text, boolean failure) {
        this.text = text;
        this.failure = failure;
    }

    /** Returns a line about an ordinary decision. */
    public static LogLine of(LogEvent event) {
        return of(event, false);
    }

    /** Returns a line about something that went wrong: it is written longer than others when lines are too many. */
    public static LogLine failure(LogEvent event) {
        return of(event, true);
    }

    /** Returns a line that is a failure or not. */
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

    /** Writes the line, or drops and counts it where lines are too many. */
    public void write() {
        if (text != null) {
            LogSetup.write(JsonLineEncoder.end(text), failure);
        }
    }
}
