package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.relay.LeastInFlightPlacement;
import org.tanagerhinge.core.relay.Route;
import org.tanagerhinge.core.relay.RouteKind;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.core.relay.StreamId;
import org.tanagerhinge.core.relay.StreamOrigin;
import org.tanagerhinge.core.relay.StreamOrigins;
import org.tanagerhinge.core.relay.WeightedService;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.node.metrics.NodeMetrics;

/** Guards against streams that are taken for one of a wrong software version, and against needless messages. */
class StreamTrackerTest {
    private static final StreamId STREAM = StreamId.of("coop", "attempt-1");
    private static final StreamOrigin ORIGIN = new StreamOrigin("model", "v1");
    private static final Route ROUTE = route(List.of(new WeightedService("model", 1)));

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final FakePeers peers = new FakePeers();
    private final FakeStore store = new FakeStore();
    private final Gateway gateway = Gateway.create(
            loop,
            null,
            GatewayOptionsFixture.at(new InetSocketAddress(0)),
            NodeMetrics.create(),
            LeastInFlightPlacement.create());

    /** Peers that record messages and answer what a test sets. */
    private static final class FakePeers implements StreamTracker.Peers {
        private final Map<String, List<StreamMessage>> sent = new TreeMap<>();
        private final List<VersionsMessage> questions = new CopyOnWriteArrayList<>();
        private Set<String> present = Set.of("g-1", "g-2", "g-3", "g-4", "g-5");
        private boolean serverListCurrent = true;

        @Override
        public Set<String> present() {
            return present;
        }

        @Override
        public boolean serverListCurrent() {
            return serverListCurrent;
        }

        @Override
        public void send(String peer, StreamMessage message) {
            sent.computeIfAbsent(peer, name -> new ArrayList<>()).add(message);
        }

        @Override
        public void send(String peer, VersionsMessage message) {
            questions.add(message);
        }

        private long told() {
            return sent.values().stream()
                    .flatMap(List::stream)
                    .filter(message -> !message.begun().isEmpty())
                    .count();
        }
    }

    private static Route route(List<WeightedService> services) {
        return new Route("r", "h", "/", RouteKind.STREAM, true, services, 2, 5_000, 300, 120, 0, false, true);
    }

    private static ServerRegistration server(String id, String version) {
        return new ServerRegistration(
                id, 0, version, "model", new InetSocketAddress("127.0.0.1", 1), "north", 8, false);
    }

    /** A store that answers when a test says so. */
    private static final class FakeStore implements StreamTracker.ServerListReader {
        private final List<Runnable> reads = new CopyOnWriteArrayList<>();

        @Override
        public void read(Runnable onRead) {
            reads.add(onRead);
        }
    }

    /** Runs a step on the event loop. */
    private void run(Runnable step) {
        loop.next().submit(step).syncUninterruptibly();
    }

    private void serve(ServerRegistration... servers) {
        run(() -> {
            gateway.streams().connect(peers);
            gateway.streams().connect(store);
            gateway.apply(List.of(servers), gateway.nowMillis(), StorePosition.NONE);
            gateway.softwareVersionHistory(List.of());
        });
    }

    private OriginMatch find(Route route) throws Exception {
        return startToFind(route).get(30, TimeUnit.SECONDS);
    }

    private CompletableFuture<OriginMatch> startToFind(Route route) {
        CompletableFuture<OriginMatch> result = new CompletableFuture<>();
        run(() -> gateway.streams().find(Optional.of(STREAM), route, 0, result::complete));
        return result;
    }

    /** Has peers answer which versions they know. */
    private void answer(Set<String> versions, String... addresses) {
        VersionsMessage question = VersionsMessage.question(STREAM, "model");
        for (String address : addresses) {
            run(() -> gateway.streams().receive(address, question.answer(versions)));
        }
    }

    @AfterEach
    void tearDown() {
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void unknownStreamIsOfTheOnlyVersionWithoutAMessage() throws Exception {
        serve(server("a", "v1"), server("b", "v1"));
        run(() -> gateway.streams().begun(STREAM, ORIGIN, ROUTE));
        assertEquals(new OriginMatch.Found(ORIGIN, OriginMatch.Basis.RECORDED, 0).origin(), origin(find(ROUTE)));
        run(() -> gateway.streams().begun(StreamId.of("coop", "other"), ORIGIN, ROUTE));
        assertTrue(peers.sent.isEmpty());
    }

    private static StreamOrigin origin(OriginMatch match) {
        return ((OriginMatch.Found) match).origin();
    }

    @Test
    void streamIsReportedToThreeWitnessesWhereTwoVersionsServe() {
        serve(server("a", "v1"), server("b", "v2"));
        run(() -> gateway.streams().begun(STREAM, ORIGIN, ROUTE));
        assertEquals(StreamTracker.WITNESSES, peers.told());
    }

    @Test
    void openStreamsAreReportedWhenASecondVersionAppears() {
        serve(server("a", "v1"));
        run(() -> gateway.streams().begun(STREAM, ORIGIN, ROUTE));
        assertEquals(0, peers.told());
        run(() ->
                gateway.apply(List.of(server("a", "v1"), server("b", "v2")), gateway.nowMillis(), StorePosition.NONE));
        assertEquals(StreamTracker.WITNESSES, peers.told());
    }

    /** Covers a gateway that is cut off: another one may know a version that it doesn't know. */
    @Test
    void unknownStreamIsUnknownIfTheServerListIsOutdated() throws Exception {
        serve(server("a", "v1"));
        peers.serverListCurrent = false;
        assertEquals(new OriginMatch.Unknown(), find(ROUTE));
    }

    /** Covers a gateway that was suspended or cut off so shortly that its server list seems to be current. */
    @Test
    void unknownStreamIsUnknownIfNobodyConfirmsTheServerList() throws Exception {
        serve(server("a", "v1"));
        run(() -> gateway.fleetSize().listed(Set.of("10.0.0.1:1"), gateway.nowMillis()));
        assertEquals(new OriginMatch.Unknown(), find(ROUTE));
    }

    @Test
    void unknownStreamIsOfTheOnlyVersionIfAListReadMeanwhileShowsIt() throws Exception {
        serve(server("a", "v1"));
        CompletableFuture<OriginMatch> result = startToFind(ROUTE);
        assertFalse(result.isDone());
        run(store.reads.getFirst());
        assertEquals(ORIGIN, origin(result.get(30, TimeUnit.SECONDS)));
    }

    @Test
    void unknownStreamIsUnknownIfAListReadMeanwhileShowsAnotherVersion() throws Exception {
        serve(server("a", "v1"));
        CompletableFuture<OriginMatch> result = startToFind(ROUTE);
        run(() -> {
            gateway.apply(List.of(server("b", "v2")), gateway.nowMillis(), StorePosition.NONE);
            store.reads.getFirst().run();
        });
        assertEquals(new OriginMatch.Unknown(), result.get(30, TimeUnit.SECONDS));
    }

    @Test
    void unknownStreamIsOfTheOnlyVersionIfAllPeersKnowNoOther() throws Exception {
        serve(server("a", "v1"));
        run(() -> gateway.fleetSize().listed(Set.of("10.0.0.1:1", "10.0.0.2:1"), gateway.nowMillis()));
        CompletableFuture<OriginMatch> result = startToFind(ROUTE);
        answer(Set.of("v1"), "10.0.0.1:1", "10.0.0.2:1");
        assertEquals(ORIGIN, origin(result.get(30, TimeUnit.SECONDS)));
        assertEquals(0, peers.told());
    }

    @Test
    void unknownStreamIsUnknownIfAPeerDoesNotAnswer() throws Exception {
        serve(server("a", "v1"));
        run(() -> gateway.fleetSize().listed(Set.of("10.0.0.1:1", "10.0.0.2:1"), gateway.nowMillis()));
        CompletableFuture<OriginMatch> result = startToFind(ROUTE);
        answer(Set.of("v1"), "10.0.0.1:1");
        assertEquals(new OriginMatch.Unknown(), result.get(30, TimeUnit.SECONDS));
    }

    @Test
    void unknownStreamIsUnknownIfAPeerKnowsAnotherVersion() throws Exception {
        serve(server("a", "v1"));
        run(() -> gateway.fleetSize().listed(Set.of("10.0.0.1:1", "10.0.0.2:1"), gateway.nowMillis()));
        CompletableFuture<OriginMatch> result = startToFind(ROUTE);
        answer(Set.of("v1"), "10.0.0.1:1");
        answer(Set.of("v1", "v2"), "10.0.0.2:1");
        assertEquals(new OriginMatch.Unknown(), result.get(30, TimeUnit.SECONDS));
    }

    @Test
    void peersAreAskedForTheVersionsThatTheyKnow() throws Exception {
        serve(server("a", "v1"));
        find(ROUTE);
        VersionsMessage question = VersionsMessage.question(STREAM, "model");
        assertTrue(peers.questions.contains(question));
        CompletableFuture<Optional<VersionsMessage>> answer = new CompletableFuture<>();
        run(() -> answer.complete(gateway.streams().receive("10.0.0.1:1", question)));
        assertEquals(Optional.of(question.answer(Set.of("v1"))), answer.get());
    }

    @Test
    void streamsAreReportedWhileTheServerListIsOutdated() {
        serve(server("a", "v1"));
        run(() -> gateway.streams().begun(STREAM, ORIGIN, ROUTE));
        peers.serverListCurrent = false;
        run(() -> gateway.streams().sweep());
        assertEquals(StreamTracker.WITNESSES, peers.told(), "an open stream");
        run(() -> gateway.streams().begun(StreamId.of("coop", "attempt-2"), ORIGIN, ROUTE));
        assertEquals(2 * StreamTracker.WITNESSES, peers.told());
    }

    @Test
    void peerIsAskedAndItsAnswerIsTaken() throws Exception {
        serve(server("a", "v1"), server("b", "v2"));
        CompletableFuture<OriginMatch> result = new CompletableFuture<>();
        run(() -> gateway.streams().find(Optional.of(STREAM), ROUTE, 0, result::complete));
        assertEquals(StreamTracker.WITNESSES, peers.sent.size());
        run(() -> gateway.streams().receive(StreamMessage.telling(List.of(new StreamOrigins.Begun(STREAM, ORIGIN)))));
        OriginMatch match = result.get(30, TimeUnit.SECONDS);
        assertEquals(ORIGIN, origin(match));
        assertEquals(OriginMatch.Basis.ASKED, ((OriginMatch.Found) match).basis());
    }

    /** Covers witnesses that are others at the gateway that asks, and messages that got lost. */
    @Test
    void allPeersAreAskedIfTheWitnessesDoNotAnswer() throws Exception {
        serve(server("a", "v1"), server("b", "v2"));
        assertEquals(new OriginMatch.Unknown(), find(ROUTE));
        assertEquals(peers.present, peers.sent.keySet());
    }

    @Test
    void serviceOfASplitRouteIsAskedForThoughOneVersionServes() throws Exception {
        serve(server("a", "v1"));
        Route split = route(List.of(new WeightedService("model", 1), new WeightedService("other", 1)));
        run(() -> gateway.streams().begun(STREAM, ORIGIN, split));
        assertEquals(StreamTracker.WITNESSES, peers.told());
    }
}
