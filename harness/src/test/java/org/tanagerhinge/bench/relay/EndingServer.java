package org.tanagerhinge.bench.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.tanagerhinge.platform.PlatformNames;

/** A backend server on real sockets that writes given bytes in answer to a request, and then ends their connection. */
public final class EndingServer implements AutoCloseable {
    /** How a server ends the connection of an answer. */
    public enum End {
        CLOSED(false, true),
        /** The server doesn't answer its health check in time. */
        CLOSED_WHILE_BUSY(false, true),
        /** The server ends its direction some time before it closes the connection. */
        HALF_CLOSED(false, true),
        RESET(false, false),
        RESET_BEFORE_REQUEST_IS_READ(true, false),
        /** The server reads the head alone, and answers and resets without a pause. */
        RESET_AT_ONCE(true, false),
        /** The kernel resets a connection that is closed with bytes that were not read. */
        CLOSED_BEFORE_REQUEST_IS_READ(true, false),
        /** The server ends its direction some time before it closes the connection with bytes that were not read. */
        HALF_CLOSED_BEFORE_REQUEST_IS_READ(true, false),
        /** The kernel closes the listening socket of a killed process after its connections. */
        KILLED(false, false),
        /** Another server is at the address by the time of the check. */
        KILLED_AND_REPLACED(false, false);

        private final boolean early;
        private final boolean inOrder;

        End(boolean early, boolean inOrder) {
            this.early = early;
            this.inOrder = inOrder;
        }

        /** Returns whether the request is written while the connection ends. */
        public boolean early() {
            return early;
        }

        /** Returns whether a running server has closed the connection after it has read the request. */
        public boolean inOrder() {
            return inOrder;
        }
    }

    /** Size of a request that doesn't fit into the buffers of a server that reads only a part of it. */
    public static final int LONG_REQUEST_BYTES = 4_190_000;

    private static final int RECEIVE_BUFFER_BYTES = 16_384;
    private static final int EARLY_BYTES = 16_384;
    private static final long PAUSE_MILLIS = 60;
    /** Longer than the check that follows the end of an answer. */
    private static final long HALF_CLOSED_MILLIS = 500;
    /** Time after which the listening socket of a killed process is closed. */
    private static final long KILL_MILLIS = 100;

    private final String id;
    private final Script script;
    private final ServerSocket listener;
    private volatile boolean killed;

    private EndingServer(String id, Script script, ServerSocket listener) {
        this.id = id;
        this.script = script;
        this.listener = listener;
    }

    /** What a server writes in answer to a request, and how it ends the connection. */
    public record Script(String answer, End end) {}

    /** Starts a server that answers all requests by a script. */
    public static EndingServer start(String id, Script script) {
        try {
            ServerSocket listener = new ServerSocket();
            listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            EndingServer server = new EndingServer(id, script, listener);
            Thread.ofVirtual().start(server::accept);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the headers by which a gateway recognizes the answer to an attempt. */
    static String headers(String attemptId) {
        return PlatformNames.ATTEMPT_ID + ": " + attemptId + "\r\n" + PlatformNames.SERVER_SEAL + ": seal\r\n";
    }

    private void accept() {
        while (!killed) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String firstLine = line(in);
            int length = 0;
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(
                            line.substring(line.indexOf(':') + 1).trim());
                }
            }
            if (firstLine.startsWith("GET /health ")) {
                answerHealthCheck(socket);
                return;
            }
            if (script.end() != End.RESET_AT_ONCE) {
                in.readNBytes(script.end().early() ? EARLY_BYTES : length);
            }
            write(socket, script.answer());
            if (script.end() != End.RESET_AT_ONCE) {
                Thread.sleep(PAUSE_MILLIS);
            }
            end(socket);
        } catch (IOException e) {
            // The gateway or the test has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answerHealthCheck(Socket socket) throws IOException {
        switch (script.end()) {
            case CLOSED_WHILE_BUSY -> {}
            case KILLED_AND_REPLACED ->
                write(
                        socket,
                        "HTTP/1.1 421 Misdirected\r\n" + PlatformNames.INSTANCE_ID
                                + ": other\r\nContent-Length: 0\r\n\r\n");
            default ->
                write(
                        socket,
                        "HTTP/1.1 200 OK\r\n" + PlatformNames.INSTANCE_ID + ": " + id
                                + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
    }

    private void end(Socket socket) throws IOException, InterruptedException {
        switch (script.end()) {
            case CLOSED, CLOSED_WHILE_BUSY, CLOSED_BEFORE_REQUEST_IS_READ, KILLED_AND_REPLACED -> socket.close();
            case HALF_CLOSED, HALF_CLOSED_BEFORE_REQUEST_IS_READ -> {
                socket.shutdownOutput();
                Thread.sleep(HALF_CLOSED_MILLIS);
                socket.close();
            }
            case RESET, RESET_BEFORE_REQUEST_IS_READ, RESET_AT_ONCE -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case KILLED -> {
                stopAccepting();
                socket.close();
                Thread.sleep(KILL_MILLIS);
                listener.close();
            }
        }
    }

    /** Leaves further connections to the kernel, which accepts them until the listening socket is closed. */
    private void stopAccepting() throws IOException {
        killed = true;
        // The acceptor thread takes one more connection before it sees that it has to end.
        new Socket(listener.getInetAddress(), listener.getLocalPort()).close();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("connection closed");
            }
            line.append((char) b);
        }
        return line.toString().trim();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
