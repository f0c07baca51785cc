package org.tanagerhinge.core.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock whose instants never go backwards within a process.
 *
 * <p>It reads the wall clock once and then adds elapsed monotonic time. Were the wall clock used directly, a step back
 * of the host's time would show as deadlines that never pass and leases that never lapse.
 */
public final class SteadyClock implements InstantSource {
    private final Instant startWallTime = Instant.now();
    private final long startNanos = System.nanoTime();

    private SteadyClock() {}

    /** Returns a new clock that starts at the current wall-clock time. */
    public static SteadyClock create() {
        return new SteadyClock();
    }

    @Override
    public Instant instant() {
        return startWallTime.plusNanos(System.nanoTime() - startNanos);
    }
}
