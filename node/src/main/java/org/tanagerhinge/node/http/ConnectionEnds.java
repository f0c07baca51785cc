package org.tanagerhinge.node.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * Tells whether a connection whose other side has ended its direction in order was cut all the same: with bytes unread, as
 * a server does that closes the connection before it has read a request.
 *
 * <p>Reads and writes can't tell: a read reports the orderly end again, and a write would send something.
 */
public final class ConnectionEnds {
    private ConnectionEnds() {}

    /**
     * Returns whether a connection was reset, or closed by this side, or holds more than a few kilobytes that the other
     * side's kernel has not taken. The connection can't be used for sending afterwards.
     *
     * @param channel a non-blocking channel that has been connected
     * @throws IOException if the selector that finds it out can't be used
     */
    public static boolean wasCut(SocketChannel channel) throws IOException {
        if (!channel.isOpen()) {
            return true;
        }
        // With the smallest buffer that the kernel allows, a connection is writable only if next to nothing is left to
        // send.
        channel.setOption(StandardSocketOptions.SO_SNDBUF, 1);
        try (Selector selector = Selector.open()) {
            // An established connection is never ready to connect, so only a hang-up or an error sets that operation.
            SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT | SelectionKey.OP_WRITE);
            selector.selectNow();
            return key.readyOps() != SelectionKey.OP_WRITE;
        }
    }
}
