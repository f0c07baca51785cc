package org.tanagerhinge.wire;

import org.tanagerhinge.core.message.Frame;

/** Receives the events of connections; called on event loop threads, in order for each link. */
public interface LinkListener {
    /** Called when a connection has been authenticated. */
    void onUp(Link link);

    /** Called when a message was received. */
    void onFrame(Link link, Frame frame);

    /** Called when an authenticated connection has been closed. */
    void onDown(Link link);

    /** Called when a peer was rejected or violated the protocol; the reason is a short label for a counter. */
    void onRefused(String reason);
}
