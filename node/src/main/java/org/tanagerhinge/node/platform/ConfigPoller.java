package org.tanagerhinge.node.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.metrics.NodeMetrics;

/**
 * Polls the configuration from the platform's store on its own thread, which alone blocks while the store is slow.
 *
 * <p>An interval that grows with the number of routers keeps the calls of all nodes at a fixed rate; nodes forward a
 * change to each other over their links.
 */
public final class ConfigPoller implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ConfigPoller.class.getName());
    private static final int MIN_INTERVAL_MILLIS = 20;
    private static final int MAX_LOGGED_PROBLEMS = 20;
    /** Interval while the control loop does not tell the number of nodes. */
    private static final int FALLBACK_INTERVAL_MILLIS = 1_000;

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("platform").daemon().factory());
    private final ConfigStore store;
    private final Supplier<Duration> interval;
    private final Consumer<ClusterConfig> onConfig;
    private final NodeMetrics metrics;
    private List<String> loggedProblems = List.of();
    private boolean failing;

    private ConfigPoller(
            ConfigStore store, Supplier<Duration> interval, Consumer<ClusterConfig> onConfig, NodeMetrics metrics) {
        this.store = store;
        this.interval = interval;
        this.onConfig = onConfig;
        this.metrics = metrics;
    }

    /**
     * Starts polling at once and then at an interval, with jitter, that is read before each poll.
     *
     * @param onConfig receives each configuration that was read
     */
    public static ConfigPoller start(
            ConfigStore store, Supplier<Duration> interval, Consumer<ClusterConfig> onConfig, NodeMetrics metrics) {
        ConfigPoller poller = new ConfigPoller(store, interval, onConfig, metrics);
        poller.scheduler.execute(poller::poll);
        return poller;
    }

    private void poll() {
        try {
            metrics.count("platform_call");
            List<String> problems = new ArrayList<>();
            ClusterConfig config = store.read(problems::add);
            recordProblems(problems);
            onConfig.accept(config);
            if (failing) {
                LOG.log(Level.INFO, "the platform service answers again; configuration is up to date");
            }
            failing = false;
        } catch (PlatformException | InvalidConfigException e) {
            metrics.count("platform_call_failed");
            if (!failing) {
                LOG.log(Level.WARNING, "cannot read the configuration, keeping the last one: " + e.getMessage());
            }
            failing = true;
        } catch (Throwable e) {
            // What the store holds may make its decoder throw anything; the next poll must still come.
            metrics.count("internal_error");
            LOG.log(Level.ERROR, "a poll of the configuration failed; polling continues", e);
        } finally {
            scheduleNext();
        }
    }

    /** Logs the problems of servers once for as long as they do not change. */
    private void recordProblems(List<String> problems) {
        if (!problems.equals(loggedProblems)) {
            loggedProblems = problems;
            problems.stream().limit(MAX_LOGGED_PROBLEMS).forEach(problem -> {
                metrics.count("entry_unreadable");
                LogLine.failure(LogEvent.ENTRY_UNREADABLE)
                        .with(LogField.WHY, problem)
                        .write();
            });
        }
    }

    private long intervalMillis() {
        try {
            return Math.max(MIN_INTERVAL_MILLIS, interval.get().toMillis());
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "cannot determine the poll interval: " + e.getMessage());
            return FALLBACK_INTERVAL_MILLIS;
        }
    }

    private void scheduleNext() {
        long intervalMillis = intervalMillis();
        long delayMillis = intervalMillis / 2 + ThreadLocalRandom.current().nextLong(intervalMillis);
        if (!scheduler.isShutdown()) {
            scheduler.schedule(this::poll, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
