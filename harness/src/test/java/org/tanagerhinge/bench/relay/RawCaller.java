package org.tanagerhinge.bench.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.tanagerhinge.platform.PlatformNames;

/** A caller's connection that sends bytes as they are given and reads answers strictly. */
final class RawCaller implements AutoCloseable {
    private static final int READ_MILLIS = 30_000;

    private final Socket socket;
    private final InputStream in;

    private RawCaller(Socket socket, InputStream in) {
        this.socket = socket;
        this.in = new BufferedInputStream(in);
    }

    static RawCaller to(InetSocketAddress address) throws IOException {
        return to(address, READ_MILLIS);
    }

    /** Returns a connection on which a read fails after a time without a byte, in milliseconds. */
    static RawCaller to(InetSocketAddress address, int readMillis) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(readMillis);
        socket.setTcpNoDelay(true);
        return of(socket, socket.getInputStream());
    }

    /** Returns a caller that reads answers from a stream in place of the socket's own. */
    static RawCaller of(Socket socket, InputStream in) {
        return new RawCaller(socket, in);
    }

    /**
     * An answer.
     *
     * @param whole whether it came to its end
     */
    record Answer(int status, Map<String, String> headers, String body, boolean whole) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Returns the text of a request with the headers that callers of the platform send. */
    static String request(String method, String path, String id, String moreHeaders, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                + PlatformNames.ATTEMPT_ID + ": " + id + "\r\n" + PlatformNames.DEADLINE + ": 20000\r\n" + moreHeaders
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.UTF_8));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    Answer exchange(String text) throws IOException {
        send(text);
        return read();
    }

    /** Reads an answer; one that is cut off is returned as far as it came. */
    Answer read() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Answer answer = read(body);
        return new Answer(answer.status(), answer.headers(), body.toString(StandardCharsets.UTF_8), answer.whole());
    }

    /** Reads an answer of any length; its body is not kept. */
    Answer readWithoutBody() throws IOException {
        return read(OutputStream.nullOutputStream());
    }

    private Answer read(OutputStream body) throws IOException {
        String first = line();
        int status = Integer.parseInt(first.split(" ", -1)[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        boolean whole = true;
        try {
            if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                chunks(body);
            } else {
                copy(Integer.parseInt(headers.getOrDefault("content-length", "0")), body);
            }
        } catch (IOException e) {
            whole = false;
        }
        return new Answer(status, headers, "", whole);
    }

    private void chunks(OutputStream body) throws IOException {
        for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
            copy(size, body);
            line();
        }
        line();
    }

    private void copy(int length, OutputStream body) throws IOException {
        for (int i = 0; i < length; i++) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("after " + i + " of " + length + " bytes");
            }
            body.write(b);
        }
    }

    /** Reads a line without its end. */
    String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("connection closed");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Returns whether the gateway has closed the connection; waits for a byte or its end. */
    boolean closed() {
        try {
            return in.read() < 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
