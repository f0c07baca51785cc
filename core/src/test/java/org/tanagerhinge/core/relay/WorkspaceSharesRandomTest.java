package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.core.relay.ShareSimulation.End;
import org.tanagerhinge.core.relay.ShareSimulation.Load;
import org.tanagerhinge.core.relay.ShareSimulation.Network;
import org.tanagerhinge.core.relay.ShareSimulation.Outcome;

/**
 * Guards the bounds of docs/design/shortage.md in random runs over many workspaces, kinds and gateways with late and
 * lost reports.
 */
class WorkspaceSharesRandomTest {
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long RUN_MILLIS = 24_000;
    private static final long WINDOW_MILLIS = 5_000;
    /** Standard deviations by which the number of served requests of a small group may be below a bound. */
    private static final double NOISE_DEVIATIONS = 3;

    static List<Long> seeds() {
        long first = Long.getLong("shares.first", 1);
        long count = Long.getLong("shares.seeds", 40);
        List<Long> seeds = new ArrayList<>();
        for (long seed = first; seed < first + count; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    /** Returns kinds of equal or different rank, and workspaces that send requests of some of them. */
    private static List<Load> loads(Random random) {
        int kinds = 1 + random.nextInt(3);
        int workspaces = 2 + random.nextInt(40);
        List<Load> loads = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            double rate = 2 + random.nextInt(10);
            rate *= random.nextInt(8) == 0 ? 10 : 1;
            int rank = random.nextInt(kinds);
            double minWork = 20 + random.nextInt(500);
            minWork *= random.nextInt(10) == 0 ? 10 : 1;
            loads.add(new Load(
                    "w" + i, rank, rate, minWork, minWork * (1 + 9 * random.nextDouble()), random.nextDouble(), 0));
        }
        return loads;
    }

    private static Network network(Random random) {
        return random.nextInt(6) == 0
                ? Network.SILENT
                : new Network(random.nextInt(4_000), 0.5 * random.nextDouble(), false);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void boundsHold(long seed) {
        Random random = new Random(seed);
        List<Load> loads = loads(random);
        double demand = loads.stream().mapToDouble(Load::workPerSecond).sum();
        double capacity = demand * (0.2 + 1.1 * random.nextDouble());
        int gateways = 1 + random.nextInt(12);
        Network network = network(random);
        List<Outcome> outcomes = ShareSimulation.run(seed, gateways, capacity, network, loads, RUN_MILLIS);
        List<Outcome> settled = afterWarmUp(outcomes);
        String run = "seed " + seed + ", " + gateways + " gateways, " + network + ": ";
        assertNoWorkspaceStarves(run, settled);
        assertLargeRequestsAreServed(run, settled);
        assertNoKindLosesByShare(run, settled);
        assertRankPrecedesShare(run, outcomes);
        List<Outcome> without = ShareSimulation.runWithoutShares(seed, gateways, capacity, network, loads, RUN_MILLIS);
        assertCapacityIsUsed(run, servedWork(settled), servedWork(afterWarmUp(without)));
    }

    /**
     * Guards against shares that refuse almost all requests of a workspace at model engines, or almost all large ones,
     * because a minimum fraction is compared with the queue, which others hold above it.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void boundsHoldAtEngines(long seed) {
        Random random = new Random(seed);
        List<Load> loads = loads(random).stream()
                .map(load -> new Load(
                        load.workspace(),
                        0,
                        load.requestsPerSecond(),
                        load.minWork(),
                        load.maxWork(),
                        load.gatewaySkew(),
                        0))
                .toList();
        double demand = loads.stream().mapToDouble(Load::workPerSecond).sum();
        double capacity = demand * (0.2 + 0.6 * random.nextDouble());
        int gateways = 1 + random.nextInt(12);
        Network network = network(random);
        List<Outcome> settled =
                afterWarmUp(ShareSimulation.runAtEngine(seed, gateways, capacity, network, loads, RUN_MILLIS));
        String run = "seed " + seed + ", " + gateways + " gateways, " + network + ": ";
        by(settled, outcome -> outcome.ask().workspace())
                .forEach((workspace, own) -> assertAllowedAtLeast(run + workspace, own, served(settled) / 4));
        List<Outcome> sorted = settled.stream()
                .sorted(Comparator.comparingDouble(outcome -> outcome.ask().work()))
                .toList();
        int count = sorted.size();
        assertAllowedAtLeast(run + "largest", sorted.subList(count * 9 / 10, count), served(settled) / 2);
        assertAllowedAtLeast(run + "large", sorted.subList(count * 7 / 10, count * 9 / 10), served(settled) / 2);
        assertTrue(servedWork(settled) > 0.85 * capacity * (RUN_MILLIS - WARM_UP_MILLIS) / 1_000, run + "idle");
    }

    /** Checks the fraction that shares don't refuse; large prompts may be late whatever shares do. */
    private static void assertAllowedAtLeast(String what, List<Outcome> outcomes, double fraction) {
        double allowed = 1 - fraction(outcomes, End.OVER_SHARE);
        double expected = fraction * outcomes.size();
        assertTrue(
                allowed * outcomes.size() >= expected - NOISE_DEVIATIONS * Math.sqrt(expected),
                () -> what + " allowed " + allowed + ", less than " + fraction);
    }

    private static double served(List<Outcome> outcomes) {
        return fraction(outcomes, End.SERVED);
    }

    private static double fraction(List<Outcome> outcomes, End end) {
        return outcomes.stream().filter(outcome -> outcome.end() == end).count() / (double) outcomes.size();
    }

    /** Returns whether requests are served at least with a fraction, but for chance. */
    private static boolean servedAtLeast(List<Outcome> outcomes, double fraction) {
        double expected = fraction * outcomes.size();
        return served(outcomes) * outcomes.size() >= expected - NOISE_DEVIATIONS * Math.sqrt(expected);
    }

    private static <K> Map<K, List<Outcome>> by(List<Outcome> outcomes, Function<Outcome, K> key) {
        return outcomes.stream().collect(Collectors.groupingBy(key));
    }

    /** No workspace that sends requests is served less than a quarter as often as all of its rank are. */
    private static void assertNoWorkspaceStarves(String run, List<Outcome> outcomes) {
        by(outcomes, outcome -> outcome.ask().rank())
                .forEach((rank, ofRank) -> by(ofRank, outcome -> outcome.ask().workspace())
                        .forEach((workspace, own) -> assertTrue(
                                servedAtLeast(own, served(ofRank) / 4),
                                () -> run + workspace + " served " + served(own) + ", all " + served(ofRank))));
    }

    /** The largest tenth of a kind, and the fifth below it, are served at least half as often as the kind. */
    private static void assertLargeRequestsAreServed(String run, List<Outcome> outcomes) {
        by(outcomes, outcome -> outcome.ask().rank()).forEach((rank, kind) -> {
            ToDoubleFunction<Outcome> work = outcome -> outcome.ask().work();
            List<Outcome> sorted =
                    kind.stream().sorted(Comparator.comparingDouble(work)).toList();
            int count = sorted.size();
            List<Outcome> largest = sorted.subList(count * 9 / 10, count);
            List<Outcome> below = sorted.subList(count * 7 / 10, count * 9 / 10);
            for (List<Outcome> part : List.of(largest, below)) {
                assertTrue(
                        servedAtLeast(part, served(kind) / 2),
                        () -> run + "large requests of rank " + rank + " served " + served(part) + ", all "
                                + served(kind));
            }
        });
    }

    /** No kind loses so much by share that it is served less than a quarter as often as all. */
    private static void assertNoKindLosesByShare(String run, List<Outcome> outcomes) {
        by(outcomes, outcome -> outcome.ask().rank())
                .forEach((rank, kind) -> assertTrue(
                        1 - fraction(kind, End.OVER_SHARE) >= served(outcomes) / 4,
                        () -> run + "rank " + rank + " refused by share " + fraction(kind, End.OVER_SHARE)));
    }

    /** In 5 s, no kind loses 10 requests and a twelfth while twice as much of a less urgent kind starts. */
    private static void assertRankPrecedesShare(String run, List<Outcome> outcomes) {
        for (long start = 0; start < RUN_MILLIS; start += 500) {
            long from = start;
            Map<Integer, List<Outcome>> byRank = by(
                    outcomes.stream()
                            .filter(outcome -> outcome.atMillis() > from && outcome.atMillis() <= from + WINDOW_MILLIS)
                            .toList(),
                    outcome -> outcome.ask().rank());
            byRank.forEach((rank, kind) -> {
                long lost = kind.stream()
                        .filter(outcome -> outcome.end() == End.OVER_SHARE)
                        .count();
                byRank.forEach((other, less) -> {
                    long started = less.stream()
                            .filter(outcome -> outcome.end() == End.SERVED)
                            .count();
                    boolean violated = other > rank && lost >= 10 && lost * 12 >= kind.size() && started >= 2 * lost;
                    assertTrue(
                            !violated,
                            () -> run + "after " + from + " ms rank " + rank + " lost " + lost + " while " + started
                                    + " of rank " + other + " started");
                });
            });
        }
    }

    /** Refusals by share cost at most a tenth of the work that is served without them. */
    private static void assertCapacityIsUsed(String run, double served, double servedWithoutShares) {
        assertTrue(
                served > 0.9 * servedWithoutShares,
                () -> run + "served work " + served + ", without shares " + servedWithoutShares);
    }

    private static List<Outcome> afterWarmUp(List<Outcome> outcomes) {
        return outcomes.stream()
                .filter(outcome -> outcome.atMillis() > WARM_UP_MILLIS)
                .toList();
    }

    private static double servedWork(List<Outcome> outcomes) {
        return outcomes.stream()
                .filter(outcome -> outcome.end() == End.SERVED)
                .mapToDouble(outcome -> outcome.ask().work())
                .sum();
    }
}
