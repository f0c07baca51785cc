package org.tanagerhinge.node.log;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * One line about one decision, with fixed field names.
 *
 * <p>{@code System.Logger} carries texts only, so these lines go to the logging library's own interface, which carries
 * fields. Ids, names, numbers and reasons go into lines; keys and bodies never.
 */
public final class LogLine {
    private static final Map<LogEvent.Subject, Logger> LOGGERS = new EnumMap<>(LogEvent.Subject.class);

    static {
        for (LogEvent.Subject subject : LogEvent.Subject.values()) {
            LOGGERS.put(subject, LoggerFactory.getLogger(subject.logger()));
        }
    }

    private final LogEvent event;
    private LoggingEventBuilder builder;

    private LogLine(LogEvent event, Level level) {
        this.event = event;
        this.builder = LOGGERS.get(event.subject()).atLevel(level);
    }

    /** Returns a line about an ordinary decision. */
    public static LogLine of(LogEvent event) {
        return new LogLine(event, Level.INFO);
    }

    /** Returns a line about something that went wrong: it is written longer than others when lines are too many. */
    public static LogLine failure(LogEvent event) {
        return new LogLine(event, Level.WARN);
    }

    /** Returns a line that is a failure or not. */
    public static LogLine of(LogEvent event, boolean failure) {
        return failure ? failure(event) : of(event);
    }

    /** Adds a field. */
    public LogLine with(LogField field, String value) {
        builder = builder.addKeyValue(field.label(), value);
        return this;
    }

    /** Adds a field. */
    public LogLine with(LogField field, long value) {
        builder = builder.addKeyValue(field.label(), value);
        return this;
    }

    /** Adds a field. */
    public LogLine with(LogField field, boolean value) {
        builder = builder.addKeyValue(field.label(), value);
        return this;
    }

    /** Writes the line, or drops and counts it where lines are too many. */
    public void write() {
        builder.log(event.label());
    }
}
