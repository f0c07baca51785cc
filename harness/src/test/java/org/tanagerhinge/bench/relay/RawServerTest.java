package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.standin.relay.RawServer;

/** The stand-in of servers itself. */
class RawServerTest {
    private static final int SERVERS = 400;

    private static void connect(InetSocketAddress address) throws IOException {
        new Socket(address.getAddress(), address.getPort()).close();
    }

    /** A server that has ended takes another connection, so that those who ask whether it has ended are told that it hasn't. */
    @Test
    void aClosedServerTakesNoConnection() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            RawServer server = RawServer.start(0, (request, connection) -> {});
            connect(server.address());
            InetSocketAddress address = server.address();
            server.close();
            assertThrows(ConnectException.class, () -> connect(address));
        }
    }
}
