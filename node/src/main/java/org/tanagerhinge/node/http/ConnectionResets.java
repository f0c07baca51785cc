package org.tanagerhinge.node.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * Tells whether a connection was reset after the other side had closed its direction, as the kernel of a server does that
 * closes a connection with bytes unread.
 *
 * <p>Reads and writes can't tell: a read reports the orderly end again, and a write would send something.
 */
public final class ConnectionResets {
    private ConnectionResets() {}

    /**
     * Returns whether a connection was reset, or closed by this side.
     *
     * @param channel a non-blocking channel that has been connected
     * @throws IOException if the selector that finds it out can't be used
     */
    public static boolean wasReset(SocketChannel channel) throws IOException {
        if (!channel.isOpen()) {
            return true;
        }
        try (Selector selector = Selector.open()) {
            // An established connection is never ready to connect, so only a hang-up or an error selects the key.
            channel.register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        }
    }
}
