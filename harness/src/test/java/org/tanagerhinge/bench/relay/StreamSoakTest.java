package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/**
 * Random runs of gateways before servers of several software versions, with releases, crashes, ends of gateways and a
 * store that fails, and callers that resume their streams anywhere. Guards against streams that hold events of two
 * software versions, and against resumptions that are refused instead.
 *
 * <p>{@code -Dstreams.first=1 -Dstreams.seeds=50} runs other seeds.
 */
class StreamSoakTest {
    private static final int FIRST_SEED = Integer.getInteger("streams.first", 1);
    private static final int SEEDS = Integer.getInteger("streams.seeds", 3);

    private static final int GATEWAYS = 4;
    private static final int SERVERS = 6;
    private static final int CALLERS = 24;
    private static final int EVENTS = 25;
    private static final long EVENT_GAP_MILLIS = 20;
    private static final long RUN_MILLIS = 8_000;
    private static final long FAULT_GAP_MILLIS = 500;
    private static final int MAX_RESUMPTIONS = 2;
    /** Number of streams that may hold events of two versions. */
    private static final int MAX_MIXED = 2;
    /** Number of resumptions from which on their share is compared with that of new streams. */
    private static final int MIN_RESUMPTIONS = 12;
    /** Time after its start from which on a gateway counts as in touch with the others. */
    private static final long CONTACT_MILLIS = 1_000;

    static Stream<Integer> seeds() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed();
    }

    /** A server that can crash: it resets its streams. */
    private static final class Engine {
        private final String version;
        private final ServerStandin standin;
        private volatile boolean up = true;

        private Engine(RelayScene scene, String id, String version) {
            this.version = version;
            this.standin = scene.server(id, "model", version, this::answer);
        }

        private void answer(ServerStandin server, RawServer.Request request, RawServer.Connection connection)
                throws IOException, InterruptedException {
            ServerStandin.beginStream(server, request, connection);
            String last = request.header(PlatformNames.LAST_EVENT_ID);
            for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
                if (!up) {
                    connection.reset();
                    return;
                }
                ServerStandin.writeEvent(server, connection, event);
                Thread.sleep(EVENT_GAP_MILLIS);
            }
            connection.write("0\r\n\r\n");
        }
    }

    private record Started(GatewayDaemon daemon, long atNanos) {
        private boolean inTouch() {
            return System.nanoTime() - atNanos > CONTACT_MILLIS * 1_000_000;
        }
    }

    /** One run: its gateways, servers and callers, and what became of the streams. */
    private static final class Run {
        private final RelayScene scene = new RelayScene();
        private final List<Started> gateways = new CopyOnWriteArrayList<>();
        private final List<Engine> engines = new CopyOnWriteArrayList<>();
        private final AtomicInteger newStreams = new AtomicInteger();
        private final AtomicInteger newStreamsBegun = new AtomicInteger();
        private final AtomicInteger resumptions = new AtomicInteger();
        private final AtomicInteger resumptionsContinued = new AtomicInteger();
        private final AtomicInteger resumptionsRefused = new AtomicInteger();
        private final AtomicInteger allResumptions = new AtomicInteger();
        private final AtomicInteger allResumptionsContinued = new AtomicInteger();
        private final AtomicInteger mixed = new AtomicInteger();
        private final SplittableRandom random;
        private final int seed;
        private int nextId;
        private int newestVersion = 2;
        private volatile boolean over;

        private Run(int seed) {
            this.seed = seed;
            this.random = new SplittableRandom(seed);
        }

        private void execute() throws IOException, InterruptedException {
            scene.platform.service("model", 8);
            scene.platform.route("/stream/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
            scene.platform.workspace("coop", "key-1");
            scene.platform.publish();
            for (int i = 0; i < SERVERS; i++) {
                addEngine("v" + (1 + i % 2));
            }
            for (int i = 0; i < GATEWAYS; i++) {
                startGateway();
            }
            for (Started gateway : gateways) {
                RelayScene.await(() -> gateway.daemon().peersPresent() == GATEWAYS - 1);
            }
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                SplittableRandom callerRandom = random.split();
                String name = "caller-" + i;
                callers.add(Thread.ofVirtual().start(() -> call(name, callerRandom)));
            }
            long untilNanos = System.nanoTime() + RUN_MILLIS * 1_000_000;
            while (System.nanoTime() < untilNanos) {
                Thread.sleep(FAULT_GAP_MILLIS);
                disturb();
            }
            over = true;
            for (Thread caller : callers) {
                caller.join();
            }
            scene.close();
        }

        private void addEngine(String version) {
            engines.add(new Engine(scene, "e-" + nextId++, version));
        }

        private void startGateway() throws IOException {
            gateways.add(new Started(scene.start("gateway-" + nextId++, scene.store.address()), System.nanoTime()));
        }

        // ---- faults

        private void disturb() throws IOException, InterruptedException {
            switch (random.nextInt(8)) {
                case 0, 1 -> crash(engines.get(random.nextInt(engines.size())));
                case 2, 3 -> release();
                case 4, 5 -> replaceGateway(random.nextInt(gateways.size()));
                case 6 -> scene.store.faultMode(StoreStandin.FaultMode.BUSY);
                default -> {
                    if (random.nextInt(3) == 0) {
                        for (int i = 0; i < GATEWAYS; i++) {
                            replaceGateway(0);
                        }
                    }
                }
            }
            if (random.nextBoolean()) {
                scene.store.faultMode(StoreStandin.FaultMode.SERVES);
            }
        }

        /** Crashes a server; another one of its version takes its place. */
        private void crash(Engine engine) {
            engine.up = false;
            engines.remove(engine);
            scene.platform.unregister(engine.standin);
            addEngine(engine.version);
        }

        /** Replaces the oldest server by one of a version of late; it finishes its streams. */
        private void release() {
            if (random.nextInt(3) == 0) {
                newestVersion++;
            }
            Engine oldest = engines.remove(0);
            scene.platform.unregister(oldest.standin);
            addEngine("v" + (newestVersion - random.nextInt(2)));
        }

        private void replaceGateway(int index) throws IOException {
            Started ended = gateways.remove(index);
            scene.stop(ended.daemon());
            startGateway();
        }

        // ---- callers

        private void call(String name, SplittableRandom callerRandom) {
            for (int i = 0; !over; i++) {
                try (StreamCaller caller = StreamCaller.of("/stream/x", name + "-" + i + "-of-" + seed)) {
                    newStream(caller, callerRandom);
                    for (int j = 0; j < MAX_RESUMPTIONS && caller.lastEvent() > 0 && !caller.whole() && !over; j++) {
                        resume(caller, callerRandom);
                    }
                    if (caller.softwareVersions().size() > 1) {
                        mixed.incrementAndGet();
                    }
                } catch (IOException e) {
                    // Closing a connection that its gateway has reset.
                }
            }
        }

        private void newStream(StreamCaller caller, SplittableRandom callerRandom) {
            Started gateway = anyGateway(callerRandom);
            boolean counts = gateway.inTouch();
            newStreams.addAndGet(counts ? 1 : 0);
            read(caller, gateway, callerRandom);
            newStreamsBegun.addAndGet(counts && caller.lastEvent() > 0 ? 1 : 0);
        }

        private void resume(StreamCaller caller, SplittableRandom callerRandom) {
            Started gateway = anyGateway(callerRandom);
            boolean counts = gateway.inTouch() && servers(caller) >= 2;
            int before = caller.lastEvent();
            int status = read(caller, gateway, callerRandom);
            counts &= servers(caller) >= 2;
            boolean continued = caller.lastEvent() > before || caller.whole();
            allResumptions.incrementAndGet();
            allResumptionsContinued.addAndGet(continued ? 1 : 0);
            resumptions.addAndGet(counts ? 1 : 0);
            resumptionsContinued.addAndGet(counts && continued ? 1 : 0);
            resumptionsRefused.addAndGet(counts && status == 503 ? 1 : 0);
        }

        private Started anyGateway(SplittableRandom callerRandom) {
            Object[] now = gateways.toArray();
            return (Started) now[callerRandom.nextInt(now.length)];
        }

        /** Returns the number of servers of the version that began a stream. */
        private long servers(StreamCaller caller) {
            return engines.stream()
                    .filter(engine -> caller.softwareVersions().contains(engine.version))
                    .count();
        }

        /** Reads a stream to its end, or to an event after which the caller loses its connection. */
        private int read(StreamCaller caller, Started gateway, SplittableRandom callerRandom) {
            try {
                int status = caller.send(gateway.daemon());
                if (status != 200) {
                    Thread.sleep(EVENT_GAP_MILLIS);
                } else if (callerRandom.nextInt(3) == 0) {
                    caller.readUntil(Math.min(EVENTS, caller.lastEvent() + 1 + callerRandom.nextInt(EVENTS)));
                } else {
                    caller.readToEnd();
                }
                return status;
            } catch (IOException e) {
                return 0;
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }

        private String summary() {
            return "seed " + seed + ": " + newStreamsBegun + " of " + newStreams + " new streams began, "
                    + resumptionsContinued + " of " + resumptions + " resumptions continued (" + resumptionsRefused
                    + " refused; at all gateways, whatever servers: " + allResumptionsContinued + " of "
                    + allResumptions + "), " + mixed + " streams hold two versions";
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void streamsHoldEventsOfOneSoftwareVersionAndContinue(int seed) throws IOException, InterruptedException {
        Run run = new Run(seed);
        run.execute();
        System.out.println(run.summary());
        assertTrue(run.mixed.get() <= MAX_MIXED, run::summary);
        double beginShare = run.newStreamsBegun.get() / (double) Math.max(1, run.newStreams.get());
        double continueShare = run.resumptionsContinued.get() / (double) Math.max(1, run.resumptions.get());
        assertTrue(run.resumptions.get() < MIN_RESUMPTIONS || continueShare >= beginShare / 2, run::summary);
    }
}
