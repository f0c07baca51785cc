package org.tanagerhinge.node.daemon;

import java.time.Duration;

/** A running daemon that can be stopped gracefully. */
public interface Daemon extends AutoCloseable {
    /**
     * Begins a graceful stop: accepts no new requests and finishes those in flight.
     *
     * @param timeLeft time until requests in flight are aborted
     */
    void beginStop(Duration timeLeft);

    /** Returns whether no request is in flight and callers have received their responses, as far as known. */
    boolean isDrained();

    /** Returns the maximum time of a graceful stop, after which requests in flight are aborted. */
    Duration stopTimeout();

    @Override
    void close();
}
