package org.tanagerhinge.node.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Sets up JSON lines on standard error; the system property {@code tanagerhinge.log} gives the least level, INFO if
 * absent, and {@code tanagerhinge.request.log} that of the lines about single requests.
 *
 * <p>In code and not in an XML file, since reading one takes over a tenth of a second of processor time, for which nobody
 * is served after a restart.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogSetup extends ContextAwareBase implements Configurator {
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithContext(false);
        encoder.setWithFormattedMessage(true);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName("STDERR");
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(level("tanagerhinge.log"));
        root.addAppender(appender);
        context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
        context.getLogger("io.netty").setLevel(Level.WARN);
        context.getLogger("request").setLevel(level("tanagerhinge.request.log"));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Level level(String property) {
        return Level.toLevel(System.getProperty(property), Level.INFO);
    }
}
