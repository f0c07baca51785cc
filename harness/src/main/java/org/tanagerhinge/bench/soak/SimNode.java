package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** One simulated process: it can crash, and pause with its messages piling up until it goes on. */
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

    /** Hands an event to this run of the process, at once or when a pause ends. */
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
