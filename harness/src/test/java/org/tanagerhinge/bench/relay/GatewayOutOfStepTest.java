package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.GatewayFixture;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/**
 * Guards against streams that continue at another software version at a gateway that was cut off or suspended while
 * servers of that version joined.
 *
 * <p>{@code -Doutofstep.first=1 -Doutofstep.seeds=50} runs other seeds.
 */
class GatewayOutOfStepTest {
    private static final int FIRST_SEED = Integer.getInteger("outofstep.first", 1);
    private static final int SEEDS = Integer.getInteger("outofstep.seeds", 2);

    /** Number of releases in one run; each is that of a service of its own, which has had one version until then. */
    private static final int RELEASES = 3;

    private static final int RANDOM_RELEASES = 5;
    private static final int SERVERS = 2;
    /** Number of gateways in step. */
    private static final int OTHERS = 2;
    /** Number of gateways in step so that not all streams are reported to the one that is suspended. */
    private static final int MANY_OTHERS = 6;

    private static final int EVENTS = 60;
    private static final long EVENT_GAP_MILLIS = 10;
    /** Number of streams that begin together, so that they spread over the servers. */
    private static final int STREAMS = 6;
    /** Number of connections that a caller opens for a request. */
    private static final int MAX_CONNECTIONS = 100;
    /** Longest time from when servers of a new version serve until a stream is resumed, in the random runs. */
    private static final int MAX_WAIT_MILLIS = 3_000;
    /** Time in which a gateway is in step again. */
    private static final long CONTACT_MILLIS = 800;

    /** What a gateway is cut off from. */
    private enum Cut {
        NOTHING,
        STORE,
        PEERS,
        ONE_PEER,
        PEERS_AND_STORE
    }

    private final List<StreamCaller> callers = new ArrayList<>();
    private RelayScene scene;
    private GatewayNetwork network;
    private List<GatewayDaemon> others;
    private int nextStream;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        network = GatewayNetwork.between(scene.store);
        for (int i = 0; i < RANDOM_RELEASES; i++) {
            scene.platform.service(service(i), 64);
            scene.platform.route(path(i), "streaming", service(i)).put(PlatformNames.RESUMABLE, true);
        }
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        for (int i = 0; i < RANDOM_RELEASES; i++) {
            for (int j = 0; j < SERVERS; j++) {
                server(i, "old-" + j, "v1");
            }
        }
    }

    @AfterEach
    void tearDown() throws IOException {
        for (StreamCaller caller : callers) {
            caller.close();
        }
        scene.close();
        network.close();
    }

    private static String service(int release) {
        return "model-" + release;
    }

    private static String path(int release) {
        return "/stream-" + release + "/";
    }

    private ServerStandin server(int release, String name, String version) {
        return scene.server(
                name + "-of-" + release, service(release), version, ServerStandin.events(EVENTS, EVENT_GAP_MILLIS));
    }

    private GatewayDaemon start(String name, InetSocketAddress store) {
        try {
            GatewayDaemon gateway = scene.start(name, store);
            RelayScene.await(gateway::ready);
            return gateway;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startOthers(int count) {
        others = IntStream.range(0, count)
                .mapToObj(i -> start("m-" + i, scene.store.address()))
                .toList();
    }

    private void awaitContact(GatewayDaemon... gateways) {
        for (GatewayDaemon gateway : gateways) {
            RelayScene.await(() -> gateway.peersPresent() == others.size());
        }
        RelayScene.sleep(CONTACT_MILLIS);
    }

    // ---- disturbances

    private void cut(Cut cut, GatewayDaemon gateway) {
        Set<InetSocketAddress> peers = new HashSet<>();
        others.forEach(other -> peers.add(scene.peerAddress(other)));
        switch (cut) {
            case NOTHING -> {}
            case STORE -> scene.store.sideFaultMode(StoreStandin.FaultMode.SILENT);
            case PEERS -> network.cut(scene.peerAddress(gateway), peers);
            case ONE_PEER -> network.cut(scene.peerAddress(gateway), Set.of(scene.peerAddress(others.get(0))));
            case PEERS_AND_STORE -> {
                scene.store.sideFaultMode(StoreStandin.FaultMode.SILENT);
                network.cut(scene.peerAddress(gateway), peers);
            }
        }
    }

    private void heal() {
        network.heal();
        scene.store.sideFaultMode(StoreStandin.FaultMode.SERVES);
    }

    // ---- streams

    /** Begins streams until some are written by servers of a version, and returns these. */
    private List<StreamCaller> beginAt(String version, GatewayDaemon gateway, int release) {
        List<StreamCaller> found = new ArrayList<>();
        RelayScene.await(() -> {
            List<StreamCaller> begun = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                begun.add(begin(gateway, release));
            }
            begun.stream()
                    .filter(caller -> caller.softwareVersions().contains(version))
                    .forEach(found::add);
            callers.addAll(begun);
            return !found.isEmpty();
        });
        return found;
    }

    private StreamCaller begin(GatewayDaemon gateway, int release) {
        StreamCaller caller = StreamCaller.of(path(release) + "x", "stream-" + nextStream++);
        try {
            assertEquals(200, send(caller, gateway.address()));
            caller.readUntil(1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return caller;
    }

    /** Sends a request, again if the connection is closed unread; a gateway does so if it gets most new connections. */
    private static int send(StreamCaller caller, InetSocketAddress gateway) throws IOException {
        for (int attempt = 1; attempt < MAX_CONNECTIONS; attempt++) {
            try {
                return caller.send(gateway);
            } catch (EOFException e) {
                RelayScene.sleep(EVENT_GAP_MILLIS);
            }
        }
        return caller.send(gateway);
    }

    /** Resumes a stream and reads to its end; returns the status. */
    private static int resume(StreamCaller caller, InetSocketAddress gateway) {
        try {
            int status = send(caller, gateway);
            assertTrue(status == 503 || status == 200, () -> "status " + status);
            if (status == 200) {
                caller.readUntil(caller.lastEvent() + 1);
            }
            assertEquals(1, caller.softwareVersions().size(), () -> "versions " + caller.softwareVersions());
            return status;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Stream<Arguments> cuts() {
        // The gateway whose name comes first reads the store for all.
        return EnumSet.complementOf(EnumSet.of(Cut.NOTHING)).stream()
                .flatMap(cut -> Stream.of("a-first", "z-last").map(name -> Arguments.of(cut, name)));
    }

    @ParameterizedTest
    @MethodSource("cuts")
    void streamsResumedDuringACutHoldOneSoftwareVersion(Cut cut, String name) {
        startOthers(OTHERS);
        GatewayDaemon late = start(name, scene.store.sideAddress());
        for (int release = 0; release < RELEASES; release++) {
            awaitContact(late, others.get(0), others.get(1));
            cut(cut, late);
            server(release, "new", "v2");
            List<StreamCaller> begun = beginAt("v2", others.get(release % 2), release);
            resume(begun.get(0), late.address());
            heal();
            resume(begun.get(begun.size() - 1), late.address());
            awaitContact(late);
            begun.forEach(caller -> assertEquals(200, resume(caller, late.address()), "in step again"));
        }
    }

    // ---- a gateway that stands still

    private record Suspendable(GatewayProcess process, InetSocketAddress address) {}

    private Suspendable startProcess(String name, Path folder) throws IOException {
        Path settings = folder.resolve("gateway.ini");
        GatewayFixture.Ports ports = GatewayFixture.writeSettings(settings, name, scene.store, scene.duties);
        GatewayProcess process = GatewayProcess.start(settings, folder.resolve("gateway.log"));
        return new Suspendable(process, new InetSocketAddress("127.0.0.1", ports.listenPort()));
    }

    /** Lets a release happen while a gateway is suspended, and resumes its streams there as it goes on. */
    private void releaseWhileSuspended(Suspendable late, int release, int waitMillis) throws InterruptedException {
        late.process().signal(GatewayProcess.Signal.STOP);
        List<StreamCaller> begun;
        List<Throwable> failures = new CopyOnWriteArrayList<>();
        List<Thread> resuming = new ArrayList<>();
        try {
            server(release, "new", "v2");
            begun = beginAt("v2", others.get(release % 2), release);
            RelayScene.sleep(waitMillis);
            for (StreamCaller caller : begun) {
                resuming.add(Thread.ofVirtual()
                        .uncaughtExceptionHandler((thread, failure) -> failures.add(failure))
                        .start(() -> resume(caller, late.address())));
            }
            RelayScene.sleep(EVENT_GAP_MILLIS);
        } finally {
            late.process().signal(GatewayProcess.Signal.CONT);
        }
        for (Thread thread : resuming) {
            thread.join();
        }
        assertEquals(List.of(), failures);
    }

    @Test
    void streamsResumedAtAGatewayThatWasSuspendedHoldOneSoftwareVersion(@TempDir Path folder) throws Exception {
        startOthers(MANY_OTHERS);
        Suspendable late = startProcess("z-last", folder);
        try {
            for (int release = 0; release < RELEASES; release++) {
                awaitContact(others.get(0), others.get(1));
                releaseWhileSuspended(late, release, release * 200);
            }
        } finally {
            late.process().kill();
        }
    }

    // ---- random runs

    static Stream<Integer> seeds() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void streamsHoldOneSoftwareVersionWhateverIsCut(int seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        startOthers(OTHERS);
        GatewayDaemon late = start(random.nextBoolean() ? "a-first" : "z-last", scene.store.sideAddress());
        for (int release = 0; release < RANDOM_RELEASES; release++) {
            awaitContact(late, others.get(0), others.get(1));
            Cut cut = Cut.values()[random.nextInt(Cut.values().length)];
            boolean storeFails = random.nextInt(4) == 0;
            cut(cut, late);
            RelayScene.sleep(random.nextInt(MAX_WAIT_MILLIS) / 2);
            server(release, "new", "v2");
            List<StreamCaller> begun = beginAt("v2", others.get(random.nextInt(2)), release);
            if (storeFails) {
                scene.store.faultMode(StoreStandin.FaultMode.BUSY);
            }
            RelayScene.sleep(random.nextInt(3) == 0 ? random.nextInt(MAX_WAIT_MILLIS) : 0);
            for (StreamCaller caller : begun) {
                resume(caller, late.address());
                RelayScene.sleep(random.nextInt(50));
            }
            heal();
            for (StreamCaller caller : begun) {
                resume(caller, late.address());
                RelayScene.sleep(random.nextInt(50));
            }
            scene.store.faultMode(StoreStandin.FaultMode.SERVES);
        }
    }
}
