package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Model engines that crash when they begin to answer a prompt with a certain part, and return under a new id. */
final class CrashingEngines implements AutoCloseable {
    /** End of the id of requests that do not count, since their gateway has just started. */
    static final String YOUNG = "-young";

    /** What an engine has written of its answer when it crashes. */
    enum Written {
        NOTHING,
        HEAD,
        EVENT,
        EVENT_WITHOUT_FRAMING
    }

    /** Number of crashes after which a part must be known everywhere. */
    static final int CRASHES_ALLOWED = 5;

    private static final long BEGIN_MILLIS = 30;
    private static final long CRASH_MILLIS = 30;
    private static final long EVENT_GAP_MILLIS = 20;
    private static final long UNREGISTERED_AFTER_MILLIS = 700;
    private static final long BACK_AFTER_MILLIS = 1_200;

    private record Arrival(String part, long atNanos) {}

    private record Crash(String part, long atNanos) {}

    private final RelayScene scene;
    private final int events;
    private final Map<String, Written> crashingParts = new ConcurrentHashMap<>();
    private final List<ServerStandin> running = new CopyOnWriteArrayList<>();
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Crash> crashes = new CopyOnWriteArrayList<>();
    private final AtomicInteger nextId = new AtomicInteger();
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();

    private CrashingEngines(RelayScene scene, int events) {
        this.scene = scene;
        this.events = events;
    }

    /** Starts engines that answer with a number of events. */
    static CrashingEngines start(RelayScene scene, int count, int events) {
        CrashingEngines engines = new CrashingEngines(scene, events);
        for (int i = 0; i < count; i++) {
            engines.startOne();
        }
        return engines;
    }

    private void startOne() {
        running.add(scene.server("e-" + nextId.getAndIncrement(), "model", this::answer));
    }

    /** Lets a part crash each engine that begins to answer a prompt in which it isn't the last one. */
    void crashOn(String part, Written written) {
        crashingParts.put(part, written);
    }

    private void answer(ServerStandin server, RawServer.Request request, RawServer.Connection connection)
            throws IOException, InterruptedException {
        Optional<String> part = crashingPart(request);
        if (part.isPresent() && !request.header(PlatformNames.ATTEMPT_ID).endsWith(YOUNG)) {
            arrivals.add(new Arrival(part.get(), System.nanoTime()));
        }
        Thread.sleep(BEGIN_MILLIS);
        if (part.isPresent()) {
            write(crashingParts.get(part.get()), server, request, connection);
            Thread.sleep(CRASH_MILLIS);
            crash(server, part.get());
            return;
        }
        ServerStandin.events(events, EVENT_GAP_MILLIS).answer(server, request, connection);
    }

    private Optional<String> crashingPart(RawServer.Request request) {
        String[] parts = request.header(PlatformNames.PROMPT_PREFIX).split(",", -1);
        return Arrays.stream(parts, 0, parts.length - 1)
                .map(part -> part.substring(0, Math.max(0, part.indexOf(':'))))
                .filter(crashingParts::containsKey)
                .findFirst();
    }

    private static void write(
            Written written, ServerStandin server, RawServer.Request request, RawServer.Connection connection)
            throws IOException {
        switch (written) {
            case NOTHING -> {}
            case HEAD -> ServerStandin.beginStream(server, request, connection);
            case EVENT -> {
                ServerStandin.beginStream(server, request, connection);
                ServerStandin.writeEvent(server, connection, 1);
            }
            case EVENT_WITHOUT_FRAMING ->
                connection.write("HTTP/1.1 200 OK\r\n" + server.headers(request)
                        + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n");
        }
    }

    /** Crashes some engine for a reason of its own. */
    void crashAny(int index) {
        if (!running.isEmpty()) {
            crash(running.get(index % running.size()), "");
        }
    }

    private synchronized void crash(ServerStandin server, String part) {
        if (!running.remove(server)) {
            return;
        }
        crashes.add(new Crash(part, System.nanoTime()));
        server.close();
        restarts.schedule(() -> scene.platform.unregister(server), UNREGISTERED_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        restarts.schedule(this::startOne, BACK_AFTER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of crashes under a part. */
    int crashes(String part) {
        return (int) crashes.stream().filter(crash -> crash.part().equals(part)).count();
    }

    /** Returns how many requests with a part, of those that count, reached engines later than some time after the last crash allowed. */
    int arrivalsAfterCrashesAllowed(String part, long contactMillis) {
        List<Crash> own =
                crashes.stream().filter(crash -> crash.part().equals(part)).toList();
        if (own.size() < CRASHES_ALLOWED) {
            return 0;
        }
        long afterNanos = own.get(CRASHES_ALLOWED - 1).atNanos() + TimeUnit.MILLISECONDS.toNanos(contactMillis);
        return (int) arrivals.stream()
                .filter(arrival -> arrival.part().equals(part) && arrival.atNanos() > afterNanos)
                .count();
    }

    @Override
    public void close() {
        restarts.shutdownNow();
        try {
            if (!restarts.awaitTermination(BACK_AFTER_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new AssertionError("an engine is still starting");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
