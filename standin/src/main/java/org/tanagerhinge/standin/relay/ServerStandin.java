package org.tanagerhinge.standin.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.tanagerhinge.platform.PlatformNames;

/** Simulates a backend server: answers health checks, records all other requests and answers them by a script. */
public final class ServerStandin implements AutoCloseable {
    /** Writes the response to a request. */
    public interface ResponseScript {
        void answer(ServerStandin server, RawServer.Request request, RawServer.Connection connection)
                throws IOException, InterruptedException;
    }

    private final String id;
    private final String softwareVersion;
    private final RawServer server;
    private final AtomicReference<ResponseScript> script;
    private final List<RawServer.Request> receivedRequests = new CopyOnWriteArrayList<>();
    private final AtomicInteger brokenResponses = new AtomicInteger();
    private volatile boolean closed;

    private ServerStandin(int port, String id, String softwareVersion, ResponseScript script) {
        this.id = id;
        this.softwareVersion = softwareVersion;
        this.script = new AtomicReference<>(script);
        this.server = RawServer.start(port, this::answer);
    }

    /** Starts a server on a free port that answers by a script. */
    public static ServerStandin start(String id, ResponseScript script) {
        return start(id, "", script);
    }

    /** Starts a server of a software version, which is part of each event that it streams, on a free port. */
    public static ServerStandin start(String id, String softwareVersion, ResponseScript script) {
        return new ServerStandin(0, id, softwareVersion, script);
    }

    public String id() {
        return id;
    }

    /** Returns the version of this server's software; empty if it states none. */
    public String softwareVersion() {
        return softwareVersion;
    }

    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the received requests, including rejected ones, without health checks. */
    public List<RawServer.Request> receivedRequests() {
        return receivedRequests;
    }

    /** Returns the number of responses that failed because the connection was closed. */
    public int brokenResponses() {
        return brokenResponses.get();
    }

    /** Returns the number of accepted connections. */
    public int connections() {
        return server.connections();
    }

    /** Replaces the script. */
    public void script(ResponseScript newScript) {
        script.set(newScript);
    }

    private void answer(RawServer.Request request, RawServer.Connection connection)
            throws IOException, InterruptedException {
        String expectedInstance = request.header(PlatformNames.EXPECT_INSTANCE);
        if (!expectedInstance.isEmpty() && !expectedInstance.equals(id)) {
            connection.answer(421, PlatformNames.INSTANCE_ID + ": " + id + "\r\n", "");
            return;
        }
        if (request.path().equals(PlatformFixture.HEALTH_PATH)) {
            connection.answer(200, PlatformNames.INSTANCE_ID + ": " + id + "\r\n", "");
            return;
        }
        receivedRequests.add(request);
        try {
            script.get().answer(this, request, connection);
        } catch (IOException e) {
            brokenResponses.incrementAndGet();
            throw e;
        }
    }

    /** Returns the header lines of a response of this server to a request. */
    public String headers(RawServer.Request request) {
        return PlatformNames.ATTEMPT_ID + ": " + request.header(PlatformNames.ATTEMPT_ID) + "\r\n"
                + PlatformNames.SERVER_SEAL + ": seal-of-" + id + "\r\n";
    }

    /** Returns a script that answers with a status and a body. */
    public static ResponseScript plain(int status, String body) {
        return (server, request, connection) -> connection.answer(status, server.headers(request), body);
    }

    /** Returns a script that rejects requests without running them. */
    public static ResponseScript refusing() {
        return (server, request, connection) -> connection.answer(503, PlatformNames.NOT_EXECUTED + ": 1\r\n", "");
    }

    /**
     * Returns a script that streams events, starting after the last event id of the request.
     *
     * @param events number of the last event
     * @param pauseMillis gap between two events in milliseconds
     */
    public static ResponseScript events(int events, long pauseMillis) {
        return (server, request, connection) -> {
            beginStream(server, request, connection);
            for (int event = firstEvent(request); event <= events; event++) {
                writeEvent(server, connection, event);
                Thread.sleep(pauseMillis);
            }
            connection.write("0\r\n\r\n");
        };
    }

    /** Returns a script that streams events and resets the connection within the given one. */
    public static ResponseScript cutWithin(int event) {
        return (server, request, connection) -> {
            beginStream(server, request, connection);
            for (int i = firstEvent(request); i < event; i++) {
                writeEvent(server, connection, i);
            }
            connection.write("6\r\nid: " + event + "\n\r\n");
            Thread.sleep(50);
            connection.reset();
        };
    }

    /** Writes the head of a stream. */
    public static void beginStream(ServerStandin server, RawServer.Request request, RawServer.Connection connection)
            throws IOException {
        connection.write("HTTP/1.1 200 OK\r\n" + server.headers(request)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Writes one event as a chunk. */
    public static void writeEvent(ServerStandin server, RawServer.Connection connection, int event) throws IOException {
        String writer = server.softwareVersion.isEmpty() ? "" : " of " + server.softwareVersion;
        writeEvent(connection, event, "piece " + event + writer);
    }

    /** Writes one event with some data as a chunk. */
    public static void writeEvent(RawServer.Connection connection, int event, String data) throws IOException {
        String text = "id: " + event + "\ndata: " + data + "\n\n";
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Returns the number of the event with which a stream has to begin. */
    public static int firstEvent(RawServer.Request request) {
        String last = request.header(PlatformNames.LAST_EVENT_ID);
        return last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    }

    /** Returns whether this server has been closed. */
    public boolean closed() {
        return closed;
    }

    @Override
    public void close() {
        closed = true;
        server.close();
    }
}
