package org.tanagerhinge.gateway;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * A TCP channel that can tell whether its connection was reset after the other side had closed its direction.
 *
 * <p>Reads and writes can't: a read reports the orderly end again, and a write would send something.
 */
final class ResetDetectingChannel extends NioSocketChannel {
    /**
     * Returns whether the connection was reset, or was ended by both sides.
     *
     * @throws IOException if the selector that finds it out can't be used
     */
    boolean wasReset() throws IOException {
        if (!isOpen()) {
            return true;
        }
        try (Selector selector = Selector.open()) {
            // An established connection is never ready to connect, so only a hang-up or an error selects the key.
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        }
    }
}
