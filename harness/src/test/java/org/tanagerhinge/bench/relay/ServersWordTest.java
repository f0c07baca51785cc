package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/**
 * A server says in its answers what the platform's store can't say for it in time.
 *
 * <p>An engine wanted to report that it leaves while the store answered nobody; the store took that in 12.8 s later. The engine
 * said so in each of its answers meanwhile. Three seconds after a gateway had passed one of these on, it sent two drafts there:
 * no gateway read that line of an answer's head, and by its registration the engine was ready.
 *
 * <pre>
 *   7.469 a-1 store_lost why="no answer in time"     9.008 a-1 has passed on an answer that says so
 *   12.039 a draft comes to a-1      12.048 it reaches the engine       20.335 the store has taken in that it leaves
 * </pre>
 */
class ServersWordTest {
    private static final String LEAVING = PlatformNames.SERVER_LEAVING + ": 1\r\n";
    private static final int REQUESTS = 20;

    private RelayScene scene;
    private int sent;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.service("model", 8);
        scene.platform.route("/safe/", "safe", "plain");
        scene.platform.route("/once/", "unsafe", "plain").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.route("/stream/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private RawCaller.Answer ask(GatewayDaemon gateway, String path) throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("POST", path, "attempt-" + sent++, "", "{}"));
        }
    }

    /** Sends requests until a server has been reached. */
    private void reach(GatewayDaemon gateway, ServerStandin server, String path) throws IOException {
        for (int i = 0; i < REQUESTS && server.receivedRequests().isEmpty(); i++) {
            ask(gateway, path);
        }
        assertFalse(server.receivedRequests().isEmpty(), "the server was never reached");
    }

    private static ServerStandin.ResponseScript answering(int status, String lines) {
        return (server, request, connection) -> connection.answer(status, server.headers(request) + lines, "x");
    }

    static Stream<Arguments> answersThatSayThatAServerLeaves() {
        ServerStandin.ResponseScript refusal = (server, request, connection) ->
                connection.answer(503, PlatformNames.NOT_EXECUTED + ": 1\r\n" + LEAVING, "");
        ServerStandin.ResponseScript stream = (server, request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\n" + server.headers(request) + LEAVING
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            ServerStandin.writeEvent(server, connection, 1);
            connection.write("0\r\n\r\n");
        };
        return Stream.of(
                Arguments.of("/safe/x", "plain", answering(200, LEAVING)),
                Arguments.of("/once/x", "plain", answering(200, LEAVING)),
                Arguments.of("/safe/x", "plain", answering(500, LEAVING)),
                Arguments.of("/safe/x", "plain", refusal),
                Arguments.of("/stream/x", "model", stream));
    }

    @ParameterizedTest
    @MethodSource("answersThatSayThatAServerLeaves")
    void aServerThatSaysThatItLeavesGetsNoMoreRequests(String path, String service, ServerStandin.ResponseScript leaves)
            throws IOException {
        ServerStandin leaving = scene.server("s-1", service, leaves);
        scene.server("s-2", service, service.equals("model") ? ServerStandin.events(1, 1) : answering(200, ""));
        GatewayDaemon gateway = scene.gateway();
        reach(gateway, leaving, path);
        int before = leaving.receivedRequests().size();
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(200, ask(gateway, path).status());
        }
        assertEquals(before, leaving.receivedRequests().size());
    }

    /** Registrations lapse while the store is away and come back as they were, before the server could report anything. */
    @Test
    void whatAServerSaidOutlastsItsRegistration() throws IOException {
        ServerStandin leaving = scene.server("s-1", "plain", answering(200, LEAVING));
        scene.server("s-2", "plain", answering(200, ""));
        GatewayDaemon gateway = scene.gateway();
        reach(gateway, leaving, "/safe/x");
        scene.platform.unregister(leaving);
        awaitServersRead();
        scene.platform.register(leaving, "plain", "ready");
        awaitServersRead();
        int before = leaving.receivedRequests().size();
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(200, ask(gateway, "/safe/x").status());
        }
        assertEquals(before, leaving.receivedRequests().size());
    }

    /** Waits until the gateway has asked for the servers twice; once in the meantime it may have asked for its peers. */
    private void awaitServersRead() {
        int calls = scene.store.calls(PlatformNames.RANGE_PATH);
        RelayScene.await(() -> scene.store.calls(PlatformNames.RANGE_PATH) > calls + 2);
    }

    @Test
    void aRequestIsRefusedUnrunWhereOnlyALeavingServerIsLeft() throws IOException {
        ServerStandin leaving = scene.server("s-1", "plain", answering(200, LEAVING));
        GatewayDaemon gateway = scene.gateway();
        assertEquals(200, ask(gateway, "/once/x").status());
        RawCaller.Answer answer = ask(gateway, "/once/x");
        assertEquals(503, answer.status());
        assertFalse(answer.header("Retry-After").isEmpty());
        assertEquals(1, leaving.receivedRequests().size());
    }

    @Test
    void peersAreToldThatAServerLeaves() throws IOException {
        ServerStandin leaving = scene.server("s-1", "plain", answering(200, LEAVING));
        scene.server("s-2", "plain", answering(200, ""));
        GatewayDaemon one = scene.gateway();
        GatewayDaemon other = scene.gateway();
        reach(one, leaving, "/safe/x");
        int before = leaving.receivedRequests().size();
        RelayScene.await(() -> other.metrics().text().contains("reason=\"server_leaving_heard\""));
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(200, ask(other, "/safe/x").status());
        }
        assertEquals(before, leaving.receivedRequests().size());
    }

    /**
     * A server that turns a request away and says for how long it wants nothing would be asked again by each request that comes:
     * it is the least loaded one, since it has just refused.
     */
    @ParameterizedTest
    @MethodSource("refusalsWithATime")
    void aServerThatTurnsRequestsAwayForATimeGetsNoneUntilThen(ServerStandin.ResponseScript refusal)
            throws IOException {
        ServerStandin busy = scene.server("s-1", "plain", refusal);
        scene.server("s-2", "plain", answering(200, ""));
        GatewayDaemon gateway = scene.gateway();
        reach(gateway, busy, "/safe/x");
        int before = busy.receivedRequests().size();
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(200, ask(gateway, "/safe/x").status());
        }
        assertEquals(before, busy.receivedRequests().size());
    }

    static Stream<ServerStandin.ResponseScript> refusalsWithATime() {
        return Stream.of(
                (server, request, connection) ->
                        connection.answer(503, PlatformNames.NOT_EXECUTED + ": 1\r\nRetry-After: 600\r\n", ""),
                answering(503, "Retry-After: 600.5\r\n"));
    }

    @Test
    void whereAllServersTurnRequestsAwayCallersAreToldWhenOneWillTakeThem() throws IOException {
        ServerStandin busy = scene.server(
                "s-1",
                "plain",
                (server, request, connection) ->
                        connection.answer(503, PlatformNames.NOT_EXECUTED + ": 1\r\nRetry-After: 2\r\n", ""));
        GatewayDaemon gateway = scene.gateway();
        ask(gateway, "/once/x");
        RawCaller.Answer answer = ask(gateway, "/once/x");
        assertEquals(503, answer.status());
        double wait = Double.parseDouble(answer.header("Retry-After"));
        assertTrue(wait > 0 && wait <= 2.6, "told to come back in " + wait + " s");
        assertEquals(1, busy.receivedRequests().size());
        busy.script(answering(200, ""));
        RelayScene.await(() -> {
            try {
                return ask(gateway, "/once/x").status() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** A bare refusal names no time: the next request may find room there. */
    @Test
    void aServerThatNamesNoTimeIsAskedAgain() throws IOException {
        ServerStandin busy = scene.server("s-1", "plain", ServerStandin.refusing());
        GatewayDaemon gateway = scene.gateway();
        ask(gateway, "/once/x");
        busy.script(answering(200, ""));
        assertEquals(200, ask(gateway, "/once/x").status());
    }
}
