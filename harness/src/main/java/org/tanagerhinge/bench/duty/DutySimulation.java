package org.tanagerhinge.bench.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Runs the events of one simulation in the order of simulated time and keeps its nodes, log and first failure. */
final class DutySimulation {
    static final long WINDOW_MILLIS = 5_000;
    static final long REPORT_GRACE_MILLIS = 10_000;
    static final long LEASE_MILLIS = 3_000;
    /** Simulated start of a run, in milliseconds since the epoch. */
    static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

    private record Event(long atMillis, long number, Runnable task) {}

    final SplittableRandom random;
    final DeliberateBug bug;
    final boolean fencingEnforced;
    final DutyStoreModel store = new DutyStoreModel(this);
    final UsageEndpointModel usageEndpoint = new UsageEndpointModel(this);
    final List<DutyNode> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMillis() != b.atMillis()
            ? Long.compare(a.atMillis(), b.atMillis())
            : Long.compare(a.number(), b.number()));
    private final List<String> log = new ArrayList<>();
    private long nowMillis;
    private long nextEventNumber;
    private String failure = "";

    DutySimulation(long seed, boolean fencingEnforced, DeliberateBug bug) {
        this.random = new SplittableRandom(seed);
        this.fencingEnforced = fencingEnforced;
        this.bug = bug;
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns the simulated time, free of clock steps, in milliseconds since the epoch. */
    long epochMillis() {
        return START_EPOCH_MILLIS + nowMillis;
    }

    void schedule(long delayMillis, Runnable task) {
        events.add(new Event(nowMillis + delayMillis, nextEventNumber++, task));
    }

    /** Runs events up to a simulated time, or until the first failure. */
    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis && failure.isEmpty()) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.task().run();
        }
        nowMillis = endMillis;
    }

    /** Returns a random number from {@code min} (inclusive) to {@code exclusiveMax}. */
    long randomBetween(long min, long exclusiveMax) {
        return random.nextLong(min, exclusiveMax);
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    void logEvent(String line) {
        log.add(String.format("%8.3f  %s", nowMillis / 1000.0, line));
    }

    void recordFailure(String reason) {
        if (failure.isEmpty()) {
            failure = reason;
            logEvent("FAILED: " + reason);
        }
    }

    String failure() {
        return failure;
    }

    List<String> log() {
        return log;
    }
}
