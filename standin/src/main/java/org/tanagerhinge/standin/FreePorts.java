package org.tanagerhinge.standin;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports of loopback for programs that are told where to listen, each given out once in a process.
 *
 * <p>A port that the kernel chose and that was closed again may be chosen again at once, for the next program or for a
 * connection; one of 2,300 draws of three had a port twice, and the program that came second did not start. These ports lie
 * below those that the kernel chooses from, so nothing but another drawing process can take one meanwhile.
 */
public final class FreePorts {
    /** Below the range that Linux chooses from unless it is set otherwise, which begins at 32,768. */
    private static final int FIRST_PORT = 20_000;

    private static final int PORT_COUNT = 12_000;
    /** Processes start this far apart, so that two that draw at the same time seldom try the same port. */
    private static final int PROCESS_STRIDE = 97;

    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORT_COUNT));

    private FreePorts() {}

    /** Returns a port that is free for connections and datagrams; throws if there is none. */
    public static int next() throws IOException {
        IOException last = null;
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            try {
                InetAddress loopback = InetAddress.getByName("127.0.0.1");
                new ServerSocket(port, 1, loopback).close();
                new DatagramSocket(port, loopback).close();
                return port;
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IOException("no port of " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1) + " is free", last);
    }

    /** Returns the address of such a port. */
    public static InetSocketAddress address() throws IOException {
        return new InetSocketAddress("127.0.0.1", next());
    }
}
