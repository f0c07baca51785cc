package org.tanagerhinge.node.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Hands the logging library out ready set up, for daemons.
 *
 * <p>The library's own way looks for configurators, reads their annotations and compares versions. That takes 40 ms of
 * processor time, for which nobody is served after a restart.
 */
public final class LogProvider implements SLF4JServiceProvider {
    /** The version of the interface that this was written for. */
    private static final String REQUESTED_API_VERSION = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter mdc = new LogbackMDCAdapter();

    @Override
    public void initialize() {
        context.setName("default");
        context.setMDCAdapter(mdc);
        LogSetup.setUp(context);
        context.start();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return context;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return mdc;
    }

    @Override
    public String getRequestedApiVersion() {
        return REQUESTED_API_VERSION;
    }
}
