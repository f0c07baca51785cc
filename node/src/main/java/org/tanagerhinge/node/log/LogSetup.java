package org.tanagerhinge.node.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;

/**
 * Configures logging as JSON lines, on standard output in daemons and on standard error in programs that print results.
 *
 * <p>The system property {@code tanagerhinge.log} sets the minimum level, INFO by default, and
 * {@code tanagerhinge.request.log} that of lines about single requests. The configuration is code, since parsing an XML
 * file takes over 100 ms of processor time and would delay the first request after a restart.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogSetup extends ContextAwareBase implements Configurator {
    private static final String TARGET_PROPERTY = "tanagerhinge.log.target";
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(300);
    private static final JsonLineEncoder ENCODER = new JsonLineEncoder();
    private static volatile BoundedAppender appender;
    private static final List<BoundedAppender> COPIES = new CopyOnWriteArrayList<>();

    /** Directs lines to standard output; must be called before the first logger is created. */
    public static void toStandardOutput() {
        System.setProperty(TARGET_PROPERTY, "out");
        if (System.getProperty(LoggerFactory.PROVIDER_PROPERTY_KEY) == null) {
            System.setProperty(LoggerFactory.PROVIDER_PROPERTY_KEY, LogProvider.class.getName());
        }
    }

    /** Sets the node name that each line of this process contains. */
    public static void setNodeName(String name) {
        ENCODER.node(name);
    }

    /** Sets which lines about single requests are written; may be changed while the process runs. */
    public static void setRequestLines(RequestLines lines) {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.getLogger(LogEvent.Subject.REQUEST.loggerName())
                    .setLevel(
                            switch (lines) {
                                case ALL -> level("tanagerhinge.request.log");
                                case FAILED -> Level.WARN;
                                case NONE -> Level.OFF;
                            });
        }
    }

    /** Starts a line about an event. */
    static StringBuilder begin(String level, LogEvent event) {
        return ENCODER.begin(System.currentTimeMillis(), level, event.label());
    }

    /** Writes a line to the appender and to all copies. */
    static void write(byte[] line, boolean failure) {
        BoundedAppender current = appender;
        if (current != null) {
            current.write(line, failure);
        }
        for (BoundedAppender copy : COPIES) {
            copy.write(line, failure);
        }
    }

    /** Returns the number of lines dropped since the start, for want of a reader or over the maximum rate. */
    public static long dropped() {
        BoundedAppender current = appender;
        return current == null ? 0 : current.dropped();
    }

    /** Copies lines to another stream until the returned handle is closed; closing it flushes the copy. */
    public static AutoCloseable copyTo(OutputStream out) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        BoundedAppender copy = BoundedAppender.to(out, ENCODER);
        copy.setContext(context);
        copy.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(copy);
        COPIES.add(copy);
        return () -> {
            root.detachAppender(copy);
            COPIES.remove(copy);
            copy.flush(FLUSH_TIMEOUT);
            copy.stop();
        };
    }

    /** Waits until the buffered lines are written, up to a short timeout. */
    public static void flush() {
        BoundedAppender current = appender;
        if (current != null) {
            current.flush(FLUSH_TIMEOUT);
        }
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        setUp(context);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    static void setUp(LoggerContext context) {
        FileDescriptor target =
                "out".equals(System.getProperty(TARGET_PROPERTY)) ? FileDescriptor.out : FileDescriptor.err;
        BoundedAppender bounded = BoundedAppender.to(new FileOutputStream(target), ENCODER);
        bounded.setContext(context);
        bounded.setName("LINES");
        bounded.start();
        appender = bounded;
        try {
            Runtime.getRuntime()
                    .addShutdownHook(Thread.ofPlatform().name("log-flush").unstarted(LogSetup::flush));
        } catch (IllegalStateException e) {
            // The JVM is exiting already; a daemon flushes its lines at the end of its stop.
        }
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(level("tanagerhinge.log"));
        root.addAppender(bounded);
        context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
        context.getLogger("io.netty").setLevel(Level.WARN);
        context.getLogger(LogEvent.Subject.REQUEST.loggerName()).setLevel(level("tanagerhinge.request.log"));
    }

    private static Level level(String property) {
        return Level.toLevel(System.getProperty(property), Level.INFO);
    }
}
