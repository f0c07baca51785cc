package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Supplier;

/**
 * Runs scheduled events in the order of simulated time, provides that time as a clock and keeps the newest log lines.
 */
final class VirtualTimeScheduler implements InstantSource {
    private static final int MAX_LOG_LINES = 400_000;

    private record Event(Instant at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Deque<String> log = new ArrayDeque<>();
    private final Instant origin = Instant.parse("2026-01-01T00:00:00Z");
    private final boolean logging;
    private Instant now = origin;
    private long nextNumber;
    private long executedEvents;

    VirtualTimeScheduler(boolean logging) {
        this.logging = logging;
    }

    @Override
    public Instant instant() {
        return now;
    }

    Duration elapsed() {
        return Duration.between(origin, now);
    }

    long executedEvents() {
        return executedEvents;
    }

    void after(Duration delay, Runnable action) {
        events.add(new Event(now.plus(delay), nextNumber++, action));
    }

    void at(Instant moment, Runnable action) {
        events.add(new Event(moment, nextNumber++, action));
    }

    /** Runs events until a duration has elapsed since the start. */
    void runUntil(Duration end) {
        Instant endInstant = origin.plus(end);
        while (!events.isEmpty() && !events.peek().at().isAfter(endInstant)) {
            Event event = events.poll();
            now = event.at();
            executedEvents++;
            event.action().run();
        }
        now = endInstant;
    }

    void log(Supplier<String> line) {
        if (!logging) {
            return;
        }
        log.addLast(elapsed().toMillis() + " ms  " + line.get());
        if (log.size() > MAX_LOG_LINES) {
            log.removeFirst();
        }
    }

    List<String> logLines() {
        return List.copyOf(log);
    }
}
