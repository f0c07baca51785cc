package org.tanagerhinge.gateway;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import org.tanagerhinge.node.http.ConnectionEnds;

/** A TCP channel that can tell whether its connection was cut although the other side had ended its direction in order. */
final class CutDetectingChannel extends NioSocketChannel {
    /** Returns what {@link ConnectionEnds#wasCut} does for this connection. */
    boolean wasCut() throws IOException {
        return ConnectionEnds.wasCut(javaChannel());
    }
}
