package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.standin.relay.ServerStandin;

/**
 * A response script of a server that is well, but writes nothing to any of its connections at some times.
 *
 * <p>Parameters of a request describe its answer: {@code first} and {@code last} are times in milliseconds before the
 * first byte of the body and before the end of a stream, {@code pieces} is the number of events of a stream,
 * {@code pause} the gap between two of them, and {@code size} the size of the body or of each event. The data of an event
 * begins with a name of the run.
 */
final class PausingServer implements ServerStandin.ResponseScript {
    /** What a pausing server leaves undone. */
    enum Pause {
        /** It writes no part of an answer, like an engine that reads long prompts. */
        OUTPUT,
        /** It doesn't even begin or reject answers, like a process whose event loop is blocked. */
        EVERYTHING
    }

    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger lastRun = new AtomicInteger();
    private volatile int maxRunning = Integer.MAX_VALUE;
    private volatile long outputPausedUntilNanos = System.nanoTime();
    private volatile long blockedUntilNanos = System.nanoTime();

    private PausingServer() {}

    /** Returns a script that accepts all requests and does not pause. */
    static PausingServer create() {
        return new PausingServer();
    }

    /** Rejects requests from now on while this many are running. */
    void rejectBeyond(int newMaxRunning) {
        maxRunning = newMaxRunning;
    }

    /** Pauses all answers from now on for a time. */
    void pause(Pause pause, long millis) {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        outputPausedUntilNanos = untilNanos;
        if (pause == Pause.EVERYTHING) {
            blockedUntilNanos = untilNanos;
        }
    }

    @Override
    public void answer(ServerStandin server, RawServer.Request request, RawServer.Connection connection)
            throws IOException, InterruptedException {
        serve(server, request, connection);
    }

    /** Answers or rejects a request; returns whether it was answered. */
    boolean serve(ServerStandin server, RawServer.Request request, RawServer.Connection connection)
            throws IOException, InterruptedException {
        awaitTime(blockedUntilNanos);
        if (running.incrementAndGet() > maxRunning) {
            running.decrementAndGet();
            ServerStandin.refusing().answer(server, request, connection);
            return false;
        }
        try {
            run(server, request, connection);
        } finally {
            running.decrementAndGet();
        }
        return true;
    }

    private void run(ServerStandin server, RawServer.Request request, RawServer.Connection connection)
            throws IOException, InterruptedException {
        Thread.sleep(number(request, "first"));
        String payload = "x".repeat(number(request, "size"));
        if (request.parameter("pieces").isEmpty()) {
            awaitTime(outputPausedUntilNanos);
            connection.write("HTTP/1.1 200 OK\r\n" + server.headers(request) + "Content-Length: " + payload.length()
                    + "\r\n\r\n");
            int half = payload.length() / 2;
            connection.write(payload.substring(0, half));
            awaitTime(outputPausedUntilNanos);
            connection.write(payload.substring(half));
            return;
        }
        String data = server.id() + "-" + lastRun.incrementAndGet() + " " + payload;
        ServerStandin.beginStream(server, request, connection);
        int events = number(request, "pieces");
        for (int event = ServerStandin.firstEvent(request); event <= events; event++) {
            awaitTime(outputPausedUntilNanos);
            ServerStandin.writeEvent(connection, event, data);
            Thread.sleep(number(request, "pause"));
        }
        Thread.sleep(number(request, "last"));
        awaitTime(outputPausedUntilNanos);
        connection.write("0\r\n\r\n");
    }

    private static int number(RawServer.Request request, String name) {
        String value = request.parameter(name);
        return value.isEmpty() ? 0 : Integer.parseInt(value);
    }

    private static void awaitTime(long untilNanos) throws InterruptedException {
        long remainingNanos = untilNanos - System.nanoTime();
        if (remainingNanos > 0) {
            Thread.sleep(remainingNanos / 1_000_000 + 1);
        }
    }
}
