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
 * Sets up JSON lines, on standard output in daemons and on standard error in programs that print results; the system
 * property {@code tanagerhinge.log} gives the least level, INFO if absent, and {@code tanagerhinge.request.log} that of
 * the lines about single requests.
 *
 * <p>In code and not in an XML file, since reading one takes over a tenth of a second of processor time, for which nobody
 * is served after a restart.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogSetup extends ContextAwareBase implements Configurator {
    private static final String TARGET_PROPERTY = "tanagerhinge.log.target";
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(300);
    private static final JsonLineEncoder ENCODER = new JsonLineEncoder();
    private static volatile BoundedAppender appender;
    private static final List<BoundedAppender> COPIES = new CopyOnWriteArrayList<>();

    /** Has lines written to standard output; must be called before the first logger is made. */
    public static void toStandardOutput() {
        System.setProperty(TARGET_PROPERTY, "out");
        if (System.getProperty(LoggerFactory.PROVIDER_PROPERTY_KEY) == null) {
            System.setProperty(LoggerFactory.PROVIDER_PROPERTY_KEY, LogProvider.class.getName());
        }
    }

    /** Sets the name that each line of this process bears. */
    public static void setNodeName(String name) {
        ENCODER.node(name);
    }

    /** Sets which lines about single requests are written, while the process runs. */
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

    /** Returns the beginning of a line about an event. */
    static StringBuilder begin(String level, LogEvent event) {
        return ENCODER.begin(System.currentTimeMillis(), level, event.label());
    }

    /** Writes a line. */
    static void write(byte[] line, boolean failure) {
        BoundedAppender current = appender;
        if (current != null) {
            current.write(line, failure);
        }
        for (BoundedAppender copy : COPIES) {
            copy.write(line, failure);
        }
    }

    /** Returns how many lines were dropped since the start, since nobody read them or there were too many. */
    public static long dropped() {
        BoundedAppender current = appender;
        return current == null ? 0 : current.dropped();
    }

    /** Has lines written to another stream as well, until the returned handle is closed; that waits for those so far. */
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

    /** Waits until the lines so far are written, for a short time at the most. */
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
        FileDescriptor target = "out".equals(System.getProperty(TARGET_PROPERTY)) ? FileDescriptor.out : FileDescriptor.err;
        BoundedAppender bounded = BoundedAppender.to(new FileOutputStream(target), ENCODER);
        bounded.setContext(context);
        bounded.setName("LINES");
        bounded.start();
        appender = bounded;
        Runtime.getRuntime()
                .addShutdownHook(Thread.ofPlatform().name("log-flush").unstarted(LogSetup::flush));
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
