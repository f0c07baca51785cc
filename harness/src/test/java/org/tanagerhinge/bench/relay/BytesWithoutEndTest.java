package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/**
 * Guards against callers that wait, connections that stay open, and neighbours that are not served, while servers send
 * bytes without end. All kinds are played at once, fast and slowly, on routes of each kind, with callers that stay and
 * callers that leave.
 */
class BytesWithoutEndTest {
    private static final int ROUTE_TIMEOUT_MILLIS = 1_500;
    private static final int CALLER_LEAVES_MILLIS = 300;
    private static final int CALLER_PATIENCE_MILLIS = 20_000;
    private static final long SLOW_INTERVAL_MILLIS = 100;
    private static final long CONNECTION_PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(40);
    private static final int BLOCK_BYTES = 16_384;

    private static RelayScene scene;
    private static GatewayDaemon gateway;
    private static final Map<String, Outcome> OUTCOMES = new ConcurrentHashMap<>();
    private static final Map<String, Boolean> CONNECTION_ENDED = new ConcurrentHashMap<>();
    private static final List<Integer> NEIGHBOUR_STATUSES = new ArrayList<>();

    private BytesWithoutEndTest() {}

    /** What a server sends: a start, and then a text again and again. The headers of a sound response replace {@code %}. */
    private enum Kind {
        BLANK_LINES_BEFORE_HEAD("", "\r\n"),
        NO_RESPONSE("", "x"),
        STATUS_LINE("HTTP/1.1 200 ", "O"),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-A: ", "a"),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-A: a\r\n"),
        INFORMATIONAL("", "HTTP/1.1 102 Processing\r\n\r\n"),
        RESPONSES_OF_OTHERS("", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 4\r\n\r\nbody"),
        RESPONSE_OF_ANOTHER("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 2000000000\r\n\r\n", "b"),
        BODY_WITH_LENGTH("HTTP/1.1 200 OK\r\n%Content-Length: 2000000000\r\n\r\n", "b"),
        BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n%\r\n", "b"),
        CHUNKS("HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"),
        CHUNK_SIZE("HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n", "0"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n1;", "a"),
        TRAILERS("HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"),
        FAILURE_BODY("HTTP/1.1 500 Error\r\n%Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"),
        REFUSAL_BODY("HTTP/1.1 503 Busy\r\n%X-Not-Executed: 1\r\nContent-Length: 2000000000\r\n\r\n", "b"),
        OTHER_INSTANCE_BODY("HTTP/1.1 421 Other\r\n%Content-Length: 2000000000\r\n\r\n", "b"),
        EVENT("HTTP/1.1 200 OK\r\n%\r\nid: 1\ndata: ", "b"),
        EVENTS("HTTP/1.1 200 OK\r\n%\r\n", "data: b\n\n"),
        BLANK_EVENTS("HTTP/1.1 200 OK\r\n%\r\nid: 1\n", "\n"),
        AFTER_RESPONSE("HTTP/1.1 200 OK\r\n%Content-Length: 9\r\n\r\ndata: x\n\n", "b"),
        RESPONSES_AFTER_RESPONSE(
                "HTTP/1.1 200 OK\r\n%Content-Length: 9\r\n\r\ndata: x\n\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");

        private final String start;
        private final String repeated;

        Kind(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }

        boolean answers() {
            return this == AFTER_RESPONSE || this == RESPONSES_AFTER_RESPONSE;
        }
    }

    private enum Speed {
        FAST,
        SLOW
    }

    private enum Route {
        SAFE("safe", false),
        UNSAFE("unsafe", false),
        STREAMING("streaming", false),
        RESUMABLE("streaming", true);

        private final String routeKind;
        private final boolean resumable;

        Route(String routeKind, boolean resumable) {
            this.routeKind = routeKind;
            this.resumable = resumable;
        }
    }

    private enum Caller {
        STAYS,
        LEAVES
    }

    /** What a caller got: a status, or none before the connection ended. */
    private record Outcome(int status, boolean whole) {}

    private static String prefix(Kind kind, Route route, Speed speed) {
        return "/" + kind + "-" + route + "-" + speed + "/";
    }

    private static String path(Kind kind, Route route, Speed speed, Caller caller) {
        return prefix(kind, route, speed) + caller;
    }

    /** Returns the service of a route; after a sound response, bytes may meet the next request on the connection. */
    private static String service(Kind kind, Route route, Speed speed) {
        return kind.answers() ? kind + "-" + route + "-" + speed : kind.name();
    }

    private static ServerStandin.ResponseScript script(Kind kind) {
        return (server, request, connection) -> {
            boolean slow = request.target().contains(Speed.SLOW.name());
            String run = request.target() + " at " + server.id();
            CONNECTION_ENDED.put(run, false);
            byte[] block = kind.repeated
                    .repeat(slow ? 1 : BLOCK_BYTES / kind.repeated.length())
                    .getBytes(StandardCharsets.US_ASCII);
            long startedAt = System.nanoTime();
            try {
                connection.write(kind.start.replace("%", server.headers(request)));
                while (System.nanoTime() - startedAt < CONNECTION_PATIENCE_NANOS) {
                    connection.out().write(block);
                    connection.out().flush();
                    if (slow) {
                        Thread.sleep(SLOW_INTERVAL_MILLIS);
                    }
                }
            } catch (IOException e) {
                CONNECTION_ENDED.put(run, true);
            }
            connection.reset();
        };
    }

    @BeforeAll
    static void playAllKinds() throws Exception {
        scene = new RelayScene();
        scene.platform.workspace("coop", "key-1");
        scene.platform.service("plain", 0);
        scene.platform.route("/plain/", "safe", "plain");
        scene.server("plain-1", "plain", ServerStandin.plain(200, "x"));
        Set<String> services = new HashSet<>();
        for (Kind kind : Kind.values()) {
            for (Route route : Route.values()) {
                for (Speed speed : Speed.values()) {
                    String service = service(kind, route, speed);
                    if (services.add(service)) {
                        scene.platform.service(service, 0);
                        scene.server(service + "-1", service, script(kind));
                        scene.server(service + "-2", service, script(kind));
                    }
                    scene.platform
                            .route(prefix(kind, route, speed), route.routeKind, service)
                            .put(PlatformNames.TIMEOUT_MILLIS, ROUTE_TIMEOUT_MILLIS)
                            .put(PlatformNames.RESUMABLE, route.resumable);
                }
            }
        }
        scene.platform.publish();
        gateway = scene.gateway();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<?>> calls = new ArrayList<>();
            for (Kind kind : Kind.values()) {
                for (Route route : Route.values()) {
                    for (Speed speed : Speed.values()) {
                        for (Caller caller : Caller.values()) {
                            if (kind.answers() && caller == Caller.LEAVES) {
                                continue;
                            }
                            String path = path(kind, route, speed, caller);
                            calls.add(callers.submit(() -> OUTCOMES.put(path, ask(path, caller))));
                        }
                    }
                }
            }
            askNeighbour(calls);
            for (Future<?> call : calls) {
                call.get();
            }
        }
    }

    private static void askNeighbour(List<Future<?>> calls) throws InterruptedException, ExecutionException {
        for (Future<?> call : calls) {
            while (!call.isDone()) {
                NEIGHBOUR_STATUSES.add(RelayScene.status(gateway, "/plain/x"));
                try {
                    call.get(20, TimeUnit.MILLISECONDS);
                } catch (TimeoutException e) {
                    // Not answered yet.
                }
            }
        }
    }

    private static Outcome ask(String path, Caller caller) {
        int patience = caller == Caller.LEAVES ? CALLER_LEAVES_MILLIS : CALLER_PATIENCE_MILLIS;
        try (RawCaller connection = RawCaller.to(gateway.address(), patience)) {
            connection.send(RawCaller.request("POST", path, path.replace('/', '.'), "", "{}"));
            if (caller == Caller.LEAVES) {
                RelayScene.sleep(CALLER_LEAVES_MILLIS);
                return new Outcome(0, false);
            }
            RawCaller.Answer answer = connection.readWithoutBody();
            return new Outcome(answer.status(), answer.whole());
        } catch (IOException e) {
            return new Outcome(0, false);
        }
    }

    @AfterAll
    static void tearDown() {
        scene.close();
    }

    /** A caller that stays gets the response, or learns at the route's timeout at the latest that there is none. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void callersAreAnswered(Kind kind) {
        for (Route route : Route.values()) {
            for (Speed speed : Speed.values()) {
                Outcome outcome = OUTCOMES.get(path(kind, route, speed, Caller.STAYS));
                String what = route + " " + speed + ": " + outcome;
                if (kind.answers()) {
                    assertEquals(new Outcome(200, true), outcome, what);
                } else if (outcome.status() < 500) {
                    assertFalse(outcome.whole(), what);
                } else {
                    assertTrue(outcome.whole(), what);
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void connectionsEnd(Kind kind) {
        List<String> runs = CONNECTION_ENDED.keySet().stream()
                .filter(run -> run.startsWith("/" + kind + "-"))
                .toList();
        assertFalse(runs.isEmpty());
        for (String run : runs) {
            RelayScene.await(() -> CONNECTION_ENDED.get(run));
        }
    }

    @Test
    void neighboursAreServed() {
        assertFalse(NEIGHBOUR_STATUSES.isEmpty());
        assertEquals(Set.of(200), Set.copyOf(NEIGHBOUR_STATUSES));
    }
}
