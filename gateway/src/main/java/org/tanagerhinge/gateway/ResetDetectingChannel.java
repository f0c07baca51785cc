package org.tanagerhinge.gateway;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import org.tanagerhinge.node.http.ConnectionResets;

/** A TCP channel that can tell whether its connection was reset after the other side had closed its direction. */
final class ResetDetectingChannel extends NioSocketChannel {
    /** Returns what {@link ConnectionResets#wasReset} does for this connection. */
    boolean wasReset() throws IOException {
        return ConnectionResets.wasReset(javaChannel());
    }
}
