package org.tanagerhinge.node.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tanagerhinge.node.metrics.NodeMetrics;

/**
 * Runs all events of a node's control state in order on a single thread.
 *
 * <p>Network threads post events without waiting. An event that throws is counted and logged, and the loop continues,
 * so that a bug in one event does not drop all other requests.
 */
public final class ControlLoop implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ControlLoop.class.getName());
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(5);

    private final ScheduledExecutorService executor;
    private final NodeMetrics metrics;

    private ControlLoop(ScheduledExecutorService executor, NodeMetrics metrics) {
        this.executor = executor;
        this.metrics = metrics;
    }

    /** Starts a loop on a new thread of the given name. */
    public static ControlLoop start(String name, NodeMetrics metrics) {
        return new ControlLoop(
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().name(name).daemon().factory()),
                metrics);
    }

    /** Runs an event on the control thread; events posted after {@link #close} are dropped and counted. */
    public void post(Runnable event) {
        try {
            executor.execute(() -> runGuarded(event));
        } catch (RejectedExecutionException e) {
            metrics.count("event_after_stop");
        }
    }

    /** Runs an event periodically. */
    public void scheduleEvery(Duration period, Runnable event) {
        executor.scheduleAtFixedRate(
                () -> runGuarded(event), period.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the result of a query on the control thread. Blocks: for pages and metrics, not for the request path. */
    public <T> T query(Callable<T> query) {
        if (executor.isShutdown()) {
            throw new IllegalStateException("the control thread has ended");
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        post(() -> {
            try {
                result.complete(query.call());
            } catch (Throwable e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get(QUERY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the query failed or the control thread did not answer in time", e);
        }
    }

    /** Runs an event. Errors are caught as well: one that leaves a periodic event ends it for good. */
    private void runGuarded(Runnable event) {
        try {
            event.run();
        } catch (Throwable e) {
            metrics.count("internal_error");
            LOG.log(Level.ERROR, "an event failed; the control loop continues", e);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
