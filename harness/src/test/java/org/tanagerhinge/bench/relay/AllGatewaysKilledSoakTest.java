package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/**
 * Random runs in which all gateways end at once and start again, around releases and failures of the store, while
 * callers resume their streams anywhere, early and late, and twice. Guards against streams that hold events of two
 * software versions.
 *
 * <p>{@code -Dkilled.first=1 -Dkilled.seeds=50} runs other seeds.
 */
class AllGatewaysKilledSoakTest {
    private static final int FIRST_SEED = Integer.getInteger("killed.first", 1);
    private static final int SEEDS = Integer.getInteger("killed.seeds", 3);

    private static final int GATEWAYS = 3;
    private static final int SERVERS = 4;
    private static final int STREAMS = 16;
    private static final int EVENTS = 400;
    private static final long EVENT_GAP_MILLIS = 10;
    private static final int ROUNDS = 3;
    private static final int MAX_TRIES = 4;
    private static final int SLOW_CALL_MILLIS = 60;
    /** Longest time for which no gateway runs, in milliseconds. */
    private static final int MAX_OUTAGE_MILLIS = 1_500;
    /** Latest resumption after the gateways have started again, in milliseconds. */
    private static final int MAX_RESUMPTION_DELAY_MILLIS = 2_000;
    /** Longest time between a release and the end of the gateways, in milliseconds. */
    private static final int MAX_RELEASE_AGE_MILLIS = 1_200;

    static Stream<Integer> seeds() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed();
    }

    /** How servers of other versions take the place of those that serve. */
    private enum Release {
        NONE,
        /** Each server is replaced by one of a new version. */
        ALL_NEW,
        /** Half of the servers are replaced by some of a new version. */
        HALF_NEW,
        /** All servers of older versions leave, without others in their place. */
        OLD_LEAVE,
        /** Each server of the newest version is replaced by one of the version before. */
        ROLLED_BACK
    }

    /** One run: its gateways, servers and callers, and what became of the streams. */
    private static final class Run {
        private final RelayScene scene = new RelayScene();
        private final List<GatewayDaemon> gateways = new CopyOnWriteArrayList<>();
        private final List<ServerStandin> servers = new ArrayList<>();
        private final AtomicInteger begun = new AtomicInteger();
        private final AtomicInteger resumed = new AtomicInteger();
        private final AtomicInteger continued = new AtomicInteger();
        private final List<String> mixed = new CopyOnWriteArrayList<>();
        private final List<String> story = new CopyOnWriteArrayList<>();
        private final SplittableRandom random;
        private final int seed;
        private int nextServer;
        private int newestVersion = 1;

        private Run(int seed) {
            this.seed = seed;
            this.random = new SplittableRandom(seed);
        }

        private void execute() throws IOException, InterruptedException {
            scene.platform.service("model", 2 * STREAMS);
            scene.platform.route("/stream/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
            scene.platform.workspace("coop", "key-1");
            scene.platform.publish();
            for (int i = 0; i < SERVERS; i++) {
                addServer(newestVersion);
            }
            startGateways(GATEWAYS);
            for (int round = 0; round < ROUNDS; round++) {
                gateways.forEach(gateway -> RelayScene.await(gateway::ready));
                playRound();
            }
            scene.close();
        }

        /** Streams begin, all gateways end and start again, and the streams are resumed; releases happen meanwhile. */
        private void playRound() throws IOException, InterruptedException {
            List<StreamCaller> callers = new ArrayList<>();
            int round = story.size();
            for (int i = 0; i < STREAMS; i++) {
                callers.add(StreamCaller.of("/stream/x", "stream-" + i + "-of-" + round + "-of-" + seed));
            }
            releaseSometimes("before");
            runAll(callers, this::begin);
            releaseSometimes("while streams are open");
            StoreStandin.FaultMode fault = random.nextInt(3) == 0
                    ? StoreStandin.FaultMode.values()[random.nextInt(StoreStandin.FaultMode.values().length)]
                    : StoreStandin.FaultMode.SERVES;
            boolean slow = random.nextInt(4) == 0;
            boolean faultBeforeEnd = random.nextBoolean();
            if (faultBeforeEnd) {
                scene.store.faultMode(fault);
                releaseSometimes("while the store fails");
            }
            scene.stopTogether(List.copyOf(gateways));
            gateways.clear();
            story.add("gateways ended, store " + fault + (slow ? " and slow" : ""));
            Thread.sleep(random.nextInt(MAX_OUTAGE_MILLIS));
            releaseSometimes("while no gateway runs");
            scene.store.alterResponses(slow ? Run::afterPause : UnaryOperator.identity());
            scene.store.faultMode(fault);
            startGateways(1 + random.nextInt(GATEWAYS));
            SplittableRandom callerRandom = random.split();
            Thread resumptions = Thread.ofVirtual().start(() -> runAll(callers, this::resumeTwice, callerRandom));
            Thread.sleep(random.nextInt(MAX_OUTAGE_MILLIS));
            scene.store.faultMode(StoreStandin.FaultMode.SERVES);
            startGateways(GATEWAYS - gateways.size());
            releaseSometimes("while streams are resumed");
            scene.store.alterResponses(UnaryOperator.identity());
            resumptions.join();
            for (StreamCaller caller : callers) {
                if (caller.softwareVersions().size() > 1) {
                    mixed.add("after " + story + ": " + caller.softwareVersions());
                }
                caller.close();
            }
        }

        private static String afterPause(String body) {
            RelayScene.sleep(SLOW_CALL_MILLIS);
            return body;
        }

        private void startGateways(int count) throws IOException {
            for (int i = 0; i < count; i++) {
                gateways.add(scene.start("gateway-" + gateways.size(), scene.store.address()));
            }
        }

        // ---- releases

        private void addServer(int version) {
            servers.add(scene.server(
                    "e-" + nextServer++, "model", "v" + version, ServerStandin.events(EVENTS, EVENT_GAP_MILLIS)));
        }

        private void remove(ServerStandin server) {
            servers.remove(server);
            scene.platform.unregister(server);
        }

        private void releaseSometimes(String when) throws InterruptedException {
            Release release =
                    random.nextBoolean() ? Release.NONE : Release.values()[random.nextInt(Release.values().length)];
            if (release == Release.NONE) {
                return;
            }
            story.add(release + " " + when);
            List<ServerStandin> before = List.copyOf(servers);
            String newest = "v" + newestVersion;
            switch (release) {
                case NONE -> {}
                case ALL_NEW -> {
                    newestVersion++;
                    before.forEach(server -> replace(server, newestVersion));
                }
                case HALF_NEW -> {
                    newestVersion++;
                    before.subList(0, before.size() / 2).forEach(server -> replace(server, newestVersion));
                }
                case OLD_LEAVE -> {
                    if (before.stream()
                            .anyMatch(server -> server.softwareVersion().equals(newest))) {
                        before.stream()
                                .filter(server -> !server.softwareVersion().equals(newest))
                                .forEach(this::remove);
                    }
                }
                case ROLLED_BACK -> {
                    int previous = Math.max(1, newestVersion - 1);
                    before.stream()
                            .filter(server -> server.softwareVersion().equals(newest))
                            .forEach(server -> replace(server, previous));
                }
            }
            Thread.sleep(random.nextInt(MAX_RELEASE_AGE_MILLIS));
        }

        private void replace(ServerStandin server, int version) {
            remove(server);
            addServer(version);
        }

        // ---- callers

        private interface CallerStep {
            void run(StreamCaller caller, SplittableRandom callerRandom) throws IOException, InterruptedException;
        }

        private void runAll(List<StreamCaller> callers, CallerStep step) {
            runAll(callers, step, random.split());
        }

        private void runAll(List<StreamCaller> callers, CallerStep step, SplittableRandom stepRandom) {
            List<Thread> threads = new ArrayList<>();
            for (StreamCaller caller : callers) {
                SplittableRandom callerRandom = stepRandom.split();
                threads.add(Thread.ofVirtual().start(() -> {
                    try {
                        step.run(caller, callerRandom);
                    } catch (IOException e) {
                        // The gateway has ended or refused; the caller goes on with its next step.
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                }));
            }
            for (Thread thread : threads) {
                try {
                    thread.join();
                } catch (InterruptedException e) {
                    throw new AssertionError(e);
                }
            }
        }

        private GatewayDaemon anyGateway(SplittableRandom callerRandom) {
            Object[] now = gateways.toArray();
            return (GatewayDaemon) now[callerRandom.nextInt(now.length)];
        }

        private void begin(StreamCaller caller, SplittableRandom callerRandom) throws IOException {
            if (caller.send(anyGateway(callerRandom)) == 200) {
                caller.readUntil(1 + callerRandom.nextInt(4));
                begun.incrementAndGet();
            }
        }

        private void resumeTwice(StreamCaller caller, SplittableRandom callerRandom)
                throws IOException, InterruptedException {
            if (caller.lastEvent() == 0) {
                return;
            }
            resume(caller, callerRandom);
            resume(caller, callerRandom);
        }

        private void resume(StreamCaller caller, SplittableRandom callerRandom)
                throws IOException, InterruptedException {
            resumed.incrementAndGet();
            for (int i = 0; i < MAX_TRIES; i++) {
                Thread.sleep(callerRandom.nextInt(MAX_RESUMPTION_DELAY_MILLIS / MAX_TRIES));
                try {
                    if (caller.send(anyGateway(callerRandom)) == 200) {
                        caller.readUntil(caller.lastEvent() + 1 + callerRandom.nextInt(3));
                        continued.incrementAndGet();
                        return;
                    }
                } catch (IOException e) {
                    // The gateway does not listen yet, or the stream was cut.
                }
            }
        }

        private String summary() {
            return "seed " + seed + ": " + begun + " streams began, " + continued + " of " + resumed
                    + " resumptions continued, " + mixed.size() + " streams hold two versions " + mixed;
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void resumedStreamsHoldEventsOfOneSoftwareVersion(int seed) throws IOException, InterruptedException {
        Run run = new Run(seed);
        run.execute();
        System.out.println(run.summary());
        assertTrue(run.begun.get() > 0, run::summary);
        assertEquals(List.of(), run.mixed, run::summary);
    }
}
