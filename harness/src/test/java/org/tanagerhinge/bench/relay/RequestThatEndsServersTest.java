package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.standin.relay.ServerStandin;

/**
 * One request ended thirteen servers in sixteen seconds, and with each of them all that ran there. It came again every second or
 * two with the same path, workspace and body, each time under another id and at any gateway. Each gateway took it for a new
 * request and sent it to the next server: nothing that a gateway knew was the same for two of its tries. After the third server
 * it was sent eight times more. One end, as the gateways' lines and the operators' record tell it:
 *
 * <pre>
 *   46.962 request sent to front-hall-b-2      46.970 reaches i-c1bf77041e      47.094 begins there      47.172 the server has ended
 *   47.172 attempt_failed server=i-c1bf77041e attempt=1 end=broken, and 13 streams of other requests cut within 4 ms
 *   then   attempt_failed server=i-c1bf77041e end=not_sent why=no connection, after 1 to 4 ms
 * </pre>
 */
class RequestThatEndsServersTest {
    private static final String POISON = "{\"ask\": \"the one that ends servers\"}";
    /** Servers that may end under one request, and times that it may reach one after that: what is promised. */
    private static final int MOST_ENDS = 3 + 3;

    private static final int SERVERS = 12;
    /** The same request comes at this pace: long enough that gateways could have told each other. */
    private static final long PACE_MILLIS = 100;

    /** Keys that the store gives in more than one page. */
    private static final int MORE_THAN_A_PAGE = 60;

    /** After so long an end is no news any more that is told to all. */
    private static final long NEWS_MILLIS = 1_500;

    private final List<ServerStandin> servers = new ArrayList<>();
    private RelayScene scene;
    private int sent;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("model", 8);
        scene.platform.route("/ask/", "streaming", "model").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.route("/again/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(scene.server("e-" + i, "model", RequestThatEndsServersTest::run));
        }
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    /** Ends the server under the one request, and serves all others. */
    private static void run(ServerStandin server, RawServer.Request request, RawServer.Connection connection)
            throws IOException, InterruptedException {
        if (new String(request.body(), StandardCharsets.UTF_8).equals(POISON)) {
            server.close();
            return;
        }
        ServerStandin.events(2, 1).answer(server, request, connection);
    }

    private long ends() {
        return servers.stream()
                .flatMap(server -> server.receivedRequests().stream())
                .filter(request -> new String(request.body(), StandardCharsets.UTF_8).equals(POISON))
                .count();
    }

    private RawCaller.Answer ask(GatewayDaemon gateway, String path, String body) throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("POST", path, "attempt-" + sent++, "", body));
        }
    }

    private RawCaller.Answer again(List<GatewayDaemon> gateways, String path) throws Exception {
        RawCaller.Answer last = null;
        for (int i = 0; i < SERVERS; i++) {
            last = ask(gateways.get(i % gateways.size()), path, POISON);
            Thread.sleep(PACE_MILLIS);
        }
        return last;
    }

    /** Asks until the store holds the request. */
    private void untilHeld(GatewayDaemon gateway) throws Exception {
        for (int i = 0; i < 4; i++) {
            ask(gateway, "/ask/x", POISON);
            Thread.sleep(PACE_MILLIS);
        }
        RelayScene.await(() -> !scene.store.keys("held/").isEmpty());
    }

    @Test
    void aRequestUnderWhichThreeServersEndedIsSentNoMoreByAnyGateway() throws Exception {
        List<GatewayDaemon> gateways = List.of(scene.gateway(), scene.gateway());
        RawCaller.Answer last = again(gateways, "/ask/x");
        assertTrue(ends() <= MOST_ENDS, ends() + " servers ended");
        assertEquals(503, last.status(), "it has not run and won't");
        assertTrue(Double.parseDouble(last.header("Retry-After")) > 1, "nothing would be different in a moment");
        assertEquals(200, ask(gateways.get(0), "/ask/x", "{}").status(), "others are served");
    }

    @Test
    void aRequestThatMayBeSentAgainEndsNoMoreServersThanAnother() throws Exception {
        List<GatewayDaemon> gateways = List.of(scene.gateway(), scene.gateway());
        again(gateways, "/again/x");
        assertTrue(ends() <= MOST_ENDS, ends() + " servers ended");
    }

    /** Power is lost everywhere, and only the first page of what is held is read: what gateways told each other is gone. */
    @Test
    void gatewaysThatStartAnewKnowOfIt() throws Exception {
        GatewayDaemon before = scene.gateway();
        untilHeld(before);
        for (int i = 0; i < MORE_THAN_A_PAGE; i++) {
            scene.store.put("held/!another writer's " + i, "");
        }
        scene.stop(before);
        GatewayDaemon after = scene.gateway();
        RelayScene.await(() -> after.metrics().text().contains("reason=\"request_held\""));
        long known = ends();
        again(List.of(after), "/ask/x");
        assertEquals(known, ends(), "servers that ended before and after the start");
    }

    /** What stands is told to one peer at a time; each has its turn. */
    @Test
    void gatewaysThatComeLaterLearnOfItFromTheOthers() throws Exception {
        GatewayDaemon first = scene.gateway();
        untilHeld(first);
        scene.store.keys("held/").forEach(scene.store::remove);
        Thread.sleep(NEWS_MILLIS);
        List<GatewayDaemon> later = List.of(scene.gateway(), scene.gateway(), scene.gateway());
        RelayScene.await(() ->
                later.stream().allMatch(gateway -> gateway.metrics().text().contains("reason=\"request_held\"")));
        long known = ends();
        again(later, "/ask/x");
        assertEquals(known, ends());
    }

    /** Servers that fail part of their requests, without running them, answer this one with an error now and then. */
    @Test
    void anErrorOfAServerClearsNobody() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        for (ServerStandin server : servers) {
            server.script((of, request, connection) -> {
                if (calls.getAndIncrement() % 2 == 0) {
                    ServerStandin.plain(500, "no").answer(of, request, connection);
                } else {
                    run(of, request, connection);
                }
            });
        }
        List<GatewayDaemon> gateways = List.of(scene.gateway(), scene.gateway());
        again(gateways, "/ask/x");
        again(gateways, "/ask/x");
        long down = servers.stream().filter(ServerStandin::closed).count();
        assertTrue(down <= MOST_ENDS, down + " servers ended");
    }
}
