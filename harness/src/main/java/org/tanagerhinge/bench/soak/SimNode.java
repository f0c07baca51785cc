package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Simulates a process that can crash, and pause while events queue up until it continues. */
abstract class SimNode {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    final Simulation sim;
    final String name;
    final String domain;
    private final Deque<Runnable> backlog = new ArrayDeque<>();
    private boolean up;
    private boolean paused;
    private int startNumber;

    SimNode(Simulation sim, String name, String domain) {
        this.sim = sim;
        this.name = name;
        this.domain = domain;
    }

    abstract void onStart();

    abstract void onCrash();

    abstract void tick();

    boolean up() {
        return up;
    }

    boolean paused() {
        return paused;
    }

    int startNumber() {
        return startNumber;
    }

    final void start() {
        up = true;
        paused = false;
        startNumber++;
        backlog.clear();
        onStart();
        scheduleTick(startNumber);
    }

    private void scheduleTick(int expectedStart) {
        sim.scheduler.after(TICK_INTERVAL, () -> {
            if (up && startNumber == expectedStart) {
                deliver(expectedStart, this::tick);
                scheduleTick(expectedStart);
            }
        });
    }

    final void crash() {
        up = false;
        backlog.clear();
        onCrash();
    }

    final void pause(Duration duration) {
        if (!up || paused) {
            return;
        }
        paused = true;
        int expectedStart = startNumber;
        sim.scheduler.after(duration, () -> {
            if (up && startNumber == expectedStart) {
                paused = false;
                while (!backlog.isEmpty() && up && startNumber == expectedStart && !paused) {
                    backlog.poll().run();
                }
            }
        });
    }

    /**
     * Runs an event now or when a pause ends; drops it if the process has been restarted since {@code expectedStart}.
     */
    final void deliver(int expectedStart, Runnable event) {
        if (!up || startNumber != expectedStart) {
            return;
        }
        if (paused) {
            backlog.add(event);
        } else {
            event.run();
        }
    }

    @Override
    public String toString() {
        return name;
    }
}
