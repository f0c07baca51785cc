package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;

/** A caller that reads a stream event by event, and takes it up at any gateway after a broken connection. */
final class StreamCaller implements AutoCloseable {
    private static final String DATA = "data: piece ";
    /** Longest gap between two events, in milliseconds, after which a caller gives up. */
    private static final int MAX_GAP_MILLIS = 5_000;

    private final String path;
    private final String firstAttempt;
    private final Set<String> softwareVersions = new TreeSet<>();
    private RawCaller connection;
    private int attempts;
    private int lastEvent;
    private boolean complete;
    private boolean inOrder = true;

    private StreamCaller(String path, String firstAttempt) {
        this.path = path;
        this.firstAttempt = firstAttempt;
    }

    /** Returns a caller that has not sent anything. */
    static StreamCaller of(String path, String firstAttempt) {
        return new StreamCaller(path, firstAttempt);
    }

    /** Sends the request for the stream, or for its rest if events were read, and returns the status. */
    int send(GatewayDaemon gateway) throws IOException {
        return send(gateway.address());
    }

    /** Sends the request to the address of a gateway. */
    int send(InetSocketAddress gateway) throws IOException {
        close();
        attempts++;
        connection = RawCaller.to(gateway, MAX_GAP_MILLIS);
        String id = attempts == 1 ? firstAttempt : firstAttempt + "-" + attempts;
        String resumption = lastEvent == 0
                ? ""
                : PlatformNames.RESUMES + ": " + firstAttempt + "\r\n" + PlatformNames.LAST_EVENT_ID + ": " + lastEvent
                        + "\r\n";
        connection.send(RawCaller.request("POST", path, id, resumption, "{}"));
        int status = Integer.parseInt(connection.line().split(" ", -1)[1]);
        String line = connection.line();
        while (!line.isEmpty()) {
            line = connection.line();
        }
        return status;
    }

    /** Reads until an event has arrived. */
    void readUntil(int event) throws IOException {
        while (lastEvent < event) {
            if (next().isEmpty()) {
                throw new IOException("the stream ended after event " + lastEvent);
            }
        }
    }

    /** Reads to the end of the stream; returns false if the connection broke. */
    boolean readToEnd() {
        try {
            while (next().isPresent()) {
                continue;
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads the next event and returns its number, or nothing at the complete end. */
    private Optional<Integer> next() throws IOException {
        String line = connection.line();
        while (!line.startsWith(DATA)) {
            if (line.equals("0")) {
                complete = true;
                return Optional.empty();
            }
            line = connection.line();
        }
        String[] words = line.substring(DATA.length()).split(" of ", -1);
        int event = Integer.parseInt(words[0]);
        inOrder &= event == lastEvent + 1;
        lastEvent = event;
        softwareVersions.add(words[1]);
        return Optional.of(event);
    }

    int lastEvent() {
        return lastEvent;
    }

    /** Returns the software versions of the servers that wrote the events read, over all attempts. */
    Set<String> softwareVersions() {
        return softwareVersions;
    }

    /** Returns whether the stream came to its end, and each event once. */
    boolean whole() {
        return complete && inOrder;
    }

    /** Closes the connection. */
    @Override
    public void close() throws IOException {
        if (connection != null) {
            connection.close();
        }
    }
}
