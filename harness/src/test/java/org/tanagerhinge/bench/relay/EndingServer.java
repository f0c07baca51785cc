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
        RESET(false, false),
        RESET_BEFORE_REQUEST_IS_READ(true, false),
        /** The kernel resets a connection that is closed with bytes that were not read. */
        CLOSED_BEFORE_REQUEST_IS_READ(true, false);

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

    private final Script script;
    private final ServerSocket listener;

    private EndingServer(Script script, ServerSocket listener) {
        this.script = script;
        this.listener = listener;
    }

    /** What a server writes in answer to a request, and how it ends the connection. */
    public record Script(String answer, End end) {}

    /** Starts a server that answers all requests by a script. */
    public static EndingServer start(Script script) {
        try {
            ServerSocket listener = new ServerSocket();
            listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            EndingServer server = new EndingServer(script, listener);
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
        while (!listener.isClosed()) {
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
            line(in);
            int length = 0;
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(
                            line.substring(line.indexOf(':') + 1).trim());
                }
            }
            in.readNBytes(script.end().early() ? EARLY_BYTES : length);
            write(socket, script.answer());
            Thread.sleep(PAUSE_MILLIS);
            end(socket);
        } catch (IOException e) {
            // The gateway or the test has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end(Socket socket) throws IOException {
        switch (script.end()) {
            case CLOSED, CLOSED_BEFORE_REQUEST_IS_READ -> socket.close();
            case RESET, RESET_BEFORE_REQUEST_IS_READ -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
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
