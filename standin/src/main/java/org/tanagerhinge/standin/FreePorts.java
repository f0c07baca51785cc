package org.tanagerhinge.standin;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free loopback ports for programs that are configured with a port to listen on.
 *
 * <p>Each port is returned once per process. The ports lie below the ephemeral range of the kernel: an ephemeral port
 * that was bound and closed again may be reused at once, and the program that is to listen on it then fails to start.
 */
public final class FreePorts {
    /** First port; all ports are below the default ephemeral range of Linux, which starts at 32,768. */
    private static final int FIRST_PORT = 20_000;

    private static final int PORT_COUNT = 12_000;
    /** Distance between the start offsets of processes, to avoid collisions between concurrent processes. */
    private static final int PROCESS_STRIDE = 97;

    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORT_COUNT));

    private FreePorts() {}

    /** Returns a port that is free for TCP and UDP; throws if there is none. */
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

    /** Returns the loopback address with a free port. */
    public static InetSocketAddress address() throws IOException {
        return new InetSocketAddress("127.0.0.1", next());
    }
}
