package org.tanagerhinge.standin.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A small HTTP server on loopback whose handler writes raw bytes, so that responses can be malformed. */
public final class RawServer implements AutoCloseable {
    /** Handles one request; an exception closes the connection. */
    public interface RequestHandler {
        void handle(Request request, Connection connection) throws IOException, InterruptedException;
    }

    /** A completely received request; header names are in lower case. */
    public record Request(String method, String target, Map<String, String> headers, byte[] body) {
        /** Returns the value of a header, empty if missing. */
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Returns the value of a query parameter, empty if missing. */
        public String parameter(String name) {
            int query = target.indexOf('?');
            for (String pair :
                    query < 0 ? new String[0] : target.substring(query + 1).split("&", -1)) {
                if (pair.startsWith(name + "=")) {
                    return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        /** Returns the target without its query. */
        public String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }
    }

    /** The connection on which a request arrived. */
    public record Connection(Socket socket, OutputStream out) {
        /** Writes a text without changes. */
        public void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Writes a complete response; headers are lines that end with CRLF. */
        public void answer(int status, String headers, String body) throws IOException {
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            write("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + length + "\r\n\r\n" + body);
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private static final int BACKLOG = 256;

    /** Maximum time to wait for the acceptor thread to end. */
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final ServerSocket listener;
    private final RequestHandler handler;
    private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connections = new AtomicInteger();
    private Thread acceptor;

    private RawServer(ServerSocket listener, RequestHandler handler) {
        this.listener = listener;
        this.handler = handler;
    }

    /** Starts a server on a port; 0 selects a free one. */
    public static RawServer start(int port, RequestHandler handler) {
        try {
            ServerSocket listener = new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"));
            RawServer server = new RawServer(listener, handler);
            server.acceptor = Thread.ofPlatform().daemon().name("accept").start(server::accept);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the listen address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the connections that are currently open. */
    public Set<Socket> openConnections() {
        return Set.copyOf(openConnections);
    }

    /** Returns the number of accepted connections. */
    public int connections() {
        return connections.get();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.incrementAndGet();
                openConnections.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket, socket.getOutputStream());
            while (!socket.isClosed()) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                handler.handle(request, connection);
            }
        } catch (IOException e) {
            // The peer or the test has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openConnections.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ", -1);
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(words[0], words[1], headers, in.readNBytes(length));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.UTF_8).trim();
            }
            line.write(b);
        }
        return null;
    }

    /** Closes the listener and all connections. */
    @Override
    public void close() {
        try {
            listener.close();
            // The listener may accept connections until the acceptor thread has ended.
            acceptor.join(STOP_TIMEOUT_MILLIS);
            for (Socket socket : openConnections) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
