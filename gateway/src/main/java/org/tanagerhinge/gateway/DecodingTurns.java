package org.tanagerhinge.gateway;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.SequencedSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Shares processor time among connections whose current request takes long to decode: they take turns, and leave half of the
 * event loop's time to everything else.
 */
final class DecodingTurns {
    private static final double SHARE = 0.5;
    private static final long MAX_BUDGET_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long INTERVAL_MILLIS = 2;

    private final LongSupplier nanoClock;
    private final Scheduler scheduler;
    private final Set<Runnable> connections = new HashSet<>();
    private final SequencedSet<Runnable> waiting = new LinkedHashSet<>();
    private long budgetNanos = MAX_BUDGET_NANOS;
    private long refilledAtNanos;
    private boolean scheduled;

    /** Runs a task on the event loop after a delay. */
    interface Scheduler {
        void schedule(Runnable task, long millis);
    }

    DecodingTurns(LongSupplier nanoClock, Scheduler scheduler) {
        this.nanoClock = nanoClock;
        this.scheduler = scheduler;
        this.refilledAtNanos = nanoClock.getAsLong();
    }

    /**
     * Records time that a connection spent on decoding.
     *
     * @param connection runs a step of decoding
     * @return whether it may go on without waiting for a turn: it is alone, or there is time left
     */
    boolean spend(Runnable connection, long nanos) {
        connections.add(connection);
        refill();
        budgetNanos -= nanos;
        return connections.size() == 1 || (budgetNanos > 0 && waiting.isEmpty());
    }

    /** Records that a connection has decoded its request, or was closed. */
    void leave(Runnable connection) {
        connections.remove(connection);
        waiting.remove(connection);
    }

    /** Runs a connection's next step when it is its turn. */
    void await(Runnable connection) {
        waiting.add(connection);
        scheduleRun();
    }

    /** Returns the number of connections that wait for a turn. */
    int waiting() {
        return waiting.size();
    }

    private void scheduleRun() {
        if (!scheduled) {
            scheduled = true;
            scheduler.schedule(this::run, INTERVAL_MILLIS);
        }
    }

    private void run() {
        scheduled = false;
        refill();
        for (int left = waiting.size(); left > 0 && budgetNanos > 0; left--) {
            waiting.removeFirst().run();
        }
        if (!waiting.isEmpty()) {
            scheduleRun();
        }
    }

    private void refill() {
        long nowNanos = nanoClock.getAsLong();
        budgetNanos = Math.min(MAX_BUDGET_NANOS, budgetNanos + (long) (SHARE * (nowNanos - refilledAtNanos)));
        refilledAtNanos = nowNanos;
    }
}
