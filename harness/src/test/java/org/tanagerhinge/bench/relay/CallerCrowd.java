package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers that send bytes at the same time, read nothing, and stay until the crowd is closed. One whose connection is closed
 * comes again twice.
 */
public final class CallerCrowd implements AutoCloseable {
    private static final int CONNECT_MILLIS = 10_000;
    private static final int TRIES = 3;
    /** Size of the receive buffer of a connection, so that answers pile up at the process and not here. */
    private static final int RECEIVE_BYTES = 4096;

    private static final long SETTLED_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MAX_SENDING_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** A block of a body. */
    public static final byte[] BLOCK = new byte[65_536];
    /** A chunk of 60,000 bytes, and 1,024 chunks of one byte. */
    public static final byte[] LARGE_CHUNK = bytes("ea60\r\n" + "b".repeat(60_000) + "\r\n");

    public static final byte[] SMALL_CHUNKS = bytes("1\r\nb\r\n".repeat(1_024));

    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final List<Thread> senders = new ArrayList<>();
    private volatile boolean closed;
    private final AtomicLong lastProgressNanos = new AtomicLong(System.nanoTime());

    private CallerCrowd() {}

    /** Writes what one connection sends. */
    @FunctionalInterface
    public interface Script {
        /** Writes the bytes of a connection by its number; blocks while the process doesn't read. */
        void send(int connection, OutputStream out) throws IOException;
    }

    /** Returns the bytes of a text. */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Writes a body without its last byte. */
    public static void unfinished(OutputStream out, int length) throws IOException {
        repeat(out, BLOCK, (length - 1) / BLOCK.length);
        out.write(BLOCK, 0, (length - 1) % BLOCK.length);
    }

    /** Writes the same bytes a number of times. */
    public static void repeat(OutputStream out, byte[] bytes, int times) throws IOException {
        for (int i = 0; i < times; i++) {
            out.write(bytes);
        }
    }

    /** Starts callers that begin to send at once. */
    public static CallerCrowd send(int port, int callers, Script script) {
        CallerCrowd crowd = new CallerCrowd();
        for (int i = 0; i < callers; i++) {
            int number = i;
            crowd.senders.add(Thread.ofVirtual().start(() -> crowd.run(port, number, script)));
        }
        return crowd;
    }

    private void run(int port, int number, Script script) {
        for (int attempt = 1; attempt <= TRIES && !closed; attempt++) {
            Socket socket = new Socket();
            sockets.add(socket);
            try {
                socket.setReceiveBufferSize(RECEIVE_BYTES);
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
                script.send(number, new ProgressStream(socket.getOutputStream()));
                return;
            } catch (IOException e) {
                // The process may refuse and close any connection of a crowd.
                lastProgressNanos.set(System.nanoTime());
            }
        }
    }

    /** Waits until each connection has sent all, was closed by the process, or makes no progress any more. */
    public void awaitSettled() throws InterruptedException {
        long startedNanos = System.nanoTime();
        while (senders.stream().anyMatch(Thread::isAlive)
                && System.nanoTime() - lastProgressNanos.get() < SETTLED_NANOS
                && System.nanoTime() - startedNanos < MAX_SENDING_NANOS) {
            Thread.sleep(20);
        }
    }

    private final class ProgressStream extends OutputStream {
        private final OutputStream out;

        ProgressStream(OutputStream out) {
            this.out = out;
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            out.write(bytes, offset, length);
            lastProgressNanos.set(System.nanoTime());
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
