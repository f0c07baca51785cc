package org.tanagerhinge.node.daemon;

import java.time.Duration;

/** A started daemon. */
public interface Daemon extends AutoCloseable {
    /** Begins a planned stop: takes no new work and finishes what is in progress. */
    void beginStop();

    /** Returns whether nothing is in progress any more. */
    boolean isDrained();

    /** Returns how long a planned stop may take before what is left is cut off. */
    Duration stopTimeout();

    @Override
    void close();
}
