package org.tanagerhinge.wire;

import org.tanagerhinge.core.message.Frame;

/** Represents an authenticated connection to a peer. */
public interface Link {
    /** Returns the identity of the peer. */
    Peer peer();

    /** Sends a message; messages sent after the connection is lost are dropped. */
    void send(Frame frame);

    /** Closes the connection. */
    void close();
}
