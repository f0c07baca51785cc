package org.tanagerhinge.gateway;

import io.netty.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/**
 * Repeats a step that makes a call and goes on with its reply.
 *
 * <p>A run ends when {@link #runAfter} sets the time of the next one. There is always a next run: also if the step or
 * the handler of its reply throws, and if the reply or the timer of the next run never comes, which {@link
 * #runIfOverdue} detects.
 */
final class RecurringTask {
    /**
     * Time from the start of a run, or from when the next one is due, after which the task is started again; longer
     * than a listing of many pages takes. Doubles with each attempt, since a run may be slow rather than lost.
     */
    private static final long OVERDUE_MILLIS = 10_000;

    private static final long MAX_OVERDUE_MILLIS = 320_000;

    private final Gateway gateway;
    private final String name;
    private final Runnable step;
    private final LongSupplier retryMillis;
    private Future<?> timer;
    private long expectedAtMillis;
    private long endedAtMillis;
    private long overdueMillis = OVERDUE_MILLIS;
    private boolean finished;

    private RecurringTask(Gateway gateway, String name, Runnable step, LongSupplier retryMillis) {
        this.gateway = gateway;
        this.name = name;
        this.step = step;
        this.retryMillis = retryMillis;
        this.expectedAtMillis = gateway.nowMillis();
        this.endedAtMillis = expectedAtMillis;
    }

    /**
     * Returns a task that does not run yet, and has the gateway watch over it.
     *
     * @param name the task in log lines and metrics
     * @param step a run; it ends by a call of {@link #runAfter}, now or later
     * @param retryMillis returns the delay after a run that threw, in milliseconds
     */
    static RecurringTask of(Gateway gateway, String name, Runnable step, LongSupplier retryMillis) {
        RecurringTask task = new RecurringTask(gateway, name, step, retryMillis);
        gateway.watchOver(task);
        return task;
    }

    String name() {
        return name;
    }

    /** Starts a run now. */
    void run() {
        cancelTimer();
        expectedAtMillis = gateway.nowMillis();
        if (!gateway.runGuarded(step)) {
            retry();
        }
    }

    /** Ends a run and schedules the next one, in place of one that is scheduled already. */
    void runAfter(long delayMillis) {
        endedAtMillis = gateway.nowMillis();
        overdueMillis = OVERDUE_MILLIS;
        schedule(delayMillis);
    }

    /** Ends the last run; there is no next one. */
    void finish() {
        finished = true;
        cancelTimer();
    }

    boolean finished() {
        return finished;
    }

    private void schedule(long delayMillis) {
        cancelTimer();
        expectedAtMillis = gateway.nowMillis() + delayMillis;
        timer = gateway.schedule(this::run, delayMillis);
    }

    private void retry() {
        schedule(retryMillis.getAsLong());
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Returns a handler of the reply to a call of this task; if it throws, the task runs again after a delay. */
    <T> Consumer<MetadataStore.Reply<T>> onReply(Consumer<MetadataStore.Reply<T>> handler) {
        return reply -> {
            if (!gateway.runGuarded(() -> handler.accept(reply))) {
                retry();
            }
        };
    }

    /** Starts a run if the current or the next one is overdue. */
    void runIfOverdue(long nowMillis) {
        if (finished || nowMillis - expectedAtMillis < overdueMillis) {
            return;
        }
        gateway.count("task_overdue");
        LogLine.failure(LogEvent.TASK_OVERDUE)
                .with(LogField.TASK, name)
                .with(LogField.AGE_MS, nowMillis - endedAtMillis)
                .write();
        overdueMillis = Math.min(MAX_OVERDUE_MILLIS, 2 * overdueMillis);
        run();
    }

    /** Returns the time since a run ended, in milliseconds. */
    long ageMillis(long nowMillis) {
        return nowMillis - endedAtMillis;
    }
}
