package org.tanagerhinge.bench.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** One run: simulated time, the events that are due, the nodes, and what went wrong. */
final class DutyRun {
    static final long WINDOW_MILLIS = 5_000;
    static final long LATE_MILLIS = 10_000;
    static final long LEASE_MILLIS = 3_000;
    /** Simulated moment at which a run begins, in milliseconds since 1970. */
    static final long EPOCH = 1_700_000_000_000L;

    private record Event(long at, long number, Runnable task) {}

    final SplittableRandom random;
    final DeliberateBug bug;
    final boolean fenced;
    final DutyStoreModel store = new DutyStoreModel(this);
    final UsageAddressModel address = new UsageAddressModel(this);
    final List<DutyNode> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));
    private final List<String> log = new ArrayList<>();
    private long now;
    private long number;
    private String failure = "";

    DutyRun(long seed, boolean fenced, DeliberateBug bug) {
        this.random = new SplittableRandom(seed);
        this.fenced = fenced;
        this.bug = bug;
    }

    long now() {
        return now;
    }

    /** Returns true time. */
    long trueMillis() {
        return EPOCH + now;
    }

    void after(long millis, Runnable task) {
        events.add(new Event(now + millis, number++, task));
    }

    /** Runs all events up to a time. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end && failure.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
        }
        now = end;
    }

    /** Returns a number from {@code least} to less than {@code bound}. */
    long between(long least, long bound) {
        return random.nextLong(least, bound);
    }

    boolean chance(double share) {
        return random.nextDouble() < share;
    }

    void note(String line) {
        log.add(String.format("%8.3f  %s", now / 1000.0, line));
    }

    void fail(String why) {
        if (failure.isEmpty()) {
            failure = why;
            note("FAILED: " + why);
        }
    }

    String failure() {
        return failure;
    }

    List<String> log() {
        return log;
    }
}
