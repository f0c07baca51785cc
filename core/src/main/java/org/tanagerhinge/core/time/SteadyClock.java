package org.tanagerhinge.core.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Provides instants that never go backwards within a process.
 *
 * <p>It reads the wall clock once and then adds elapsed monotonic time. This guards against a backward step of the
 * host's time, after which deadlines and leases would not expire.
 */
public final class SteadyClock implements InstantSource {
    private final Instant startWallTime = Instant.now();
    private final long startNanos = System.nanoTime();

    private SteadyClock() {}

    /** Creates a clock that starts at the current wall-clock time. */
    public static SteadyClock create() {
        return new SteadyClock();
    }

    @Override
    public Instant instant() {
        return startWallTime.plusNanos(System.nanoTime() - startNanos);
    }
}
