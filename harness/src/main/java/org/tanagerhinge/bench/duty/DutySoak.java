package org.tanagerhinge.bench.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.tanagerhinge.core.duty.UsageCounts;

/**
 * Runs seeded simulations of duties under sequential and overlapping faults.
 *
 * <p>Faults are killed and suspended nodes, isolation from the store, the platform or peers, clock steps, rolling
 * restarts, a store or platform that is down, slow, loses responses or executes calls late, and a store that is
 * restored from an older copy.
 */
public final class DutySoak {
    private static final long RUN_MILLIS = 90_000;
    private static final long FIRST_FAULT_MILLIS = 8_000;
    private static final long LAST_FAULT_MILLIS = 70_000;
    private static final int MAX_RESTORES = 3;
    private static final long MIN_COPY_AGE_MILLIS = 200;
    private static final long MAX_COPY_AGE_MILLIS = 8_000;
    private static final long MAX_DOWN_MILLIS = 3_000;
    private static final double TOLERANCE = 0.05;

    private DutySoak() {}

    /**
     * Describes the result of one run.
     *
     * @param failure first violated check, empty if none
     * @param reports reports that reached the platform
     * @param windows windows that ended long enough before the end of the run to be reported
     * @param correctWindows of these, windows reported in time and within the tolerance
     */
    public record Result(long seed, String failure, int faults, int reports, int windows, int correctWindows) {
        public boolean passed() {
            return failure.isEmpty();
        }

        /** Returns whether the platform of this run rejected outdated fencing tokens. */
        public boolean fencingEnforced() {
            return DutySoak.fencingEnforced(seed);
        }
    }

    /** Runs one seed without restores of the store; the platform enforces fencing tokens for even seeds only. */
    public static Result run(long seed, DeliberateBug bug) {
        return run(seed, bug, false);
    }

    /** Runs one seed like {@link #run(long, DeliberateBug)}, with or without restores of the store. */
    public static Result run(long seed, DeliberateBug bug, boolean restores) {
        return simulate(seed, bug, restores, new ArrayList<>());
    }

    /** Runs consecutive seeds in parallel and returns their results in order. */
    public static List<Result> runAll(long firstSeed, int seedCount, DeliberateBug bug, boolean restores) {
        return LongStream.range(firstSeed, firstSeed + seedCount)
                .parallel()
                .mapToObj(seed -> run(seed, bug, restores))
                .toList();
    }

    /**
     * Runs a seed and returns its event log.
     *
     * @param restores whether the store is restored from older copies
     */
    public static List<String> explain(long seed, DeliberateBug bug, boolean restores) {
        List<String> log = new ArrayList<>();
        simulate(seed, bug, restores, log);
        return log;
    }

    private static boolean fencingEnforced(long seed) {
        return seed % 2 == 0;
    }

    private static Result simulate(long seed, DeliberateBug bug, boolean restores, List<String> log) {
        DutySimulation simulation = new DutySimulation(seed, fencingEnforced(seed), bug);
        TreeMap<Long, Map<String, Long>> actualCounts = addNodes(simulation, (int) simulation.randomBetween(2, 8));
        int faultCount = 0;
        for (long atMillis = FIRST_FAULT_MILLIS;
                atMillis < LAST_FAULT_MILLIS;
                atMillis += simulation.randomBetween(500, 9_000)) {
            faultCount++;
            simulation.schedule(atMillis, () -> new DutyFaultInjector(simulation).injectRandomFault());
        }
        if (restores) {
            scheduleRestores(simulation, new SplittableRandom(~seed));
        }
        simulation.runUntil(RUN_MILLIS);
        log.addAll(simulation.log());
        return result(simulation, seed, faultCount, actualCounts);
    }

    /** Schedules restores from a generator of their own, so that the other faults of a seed are as without them. */
    private static void scheduleRestores(DutySimulation simulation, SplittableRandom random) {
        DutyFaultScript script = new DutyFaultScript(simulation);
        int count = random.nextInt(1, MAX_RESTORES + 1);
        for (int i = 0; i < count; i++) {
            long atMillis = random.nextLong(FIRST_FAULT_MILLIS, LAST_FAULT_MILLIS);
            long ageMillis = random.nextLong(MIN_COPY_AGE_MILLIS, MAX_COPY_AGE_MILLIS);
            long downMillis = Math.min(ageMillis, random.nextLong(MAX_DOWN_MILLIS));
            script.storeRestored(atMillis, ageMillis, downMillis, random.nextBoolean());
        }
    }

    /** Runs nodes without random faults; {@code script} may schedule faults. */
    public static Result runScript(long seed, int nodeCount, java.util.function.Consumer<DutyFaultScript> script) {
        DutySimulation simulation = new DutySimulation(seed, true, DeliberateBug.NONE);
        TreeMap<Long, Map<String, Long>> actualCounts = addNodes(simulation, nodeCount);
        script.accept(new DutyFaultScript(simulation));
        simulation.runUntil(RUN_MILLIS);
        return result(simulation, seed, 0, actualCounts);
    }

    private static TreeMap<Long, Map<String, Long>> addNodes(DutySimulation simulation, int nodeCount) {
        TreeMap<Long, Map<String, Long>> actualCounts = new TreeMap<>();
        for (int i = 0; i < nodeCount; i++) {
            simulation.nodes.add(new DutyNode(simulation, "node-" + i, i < 2 ? 150 : 27, actualCounts));
        }
        simulation.nodes.forEach(node -> simulation.schedule(simulation.randomBetween(0, 300), node::start));
        return actualCounts;
    }

    private static Result result(
            DutySimulation simulation, long seed, int faults, TreeMap<Long, Map<String, Long>> actualCounts) {
        int windows = 0;
        int correctWindows = 0;
        long endWindow =
                (simulation.epochMillis() - 2 * DutySimulation.REPORT_GRACE_MILLIS) / DutySimulation.WINDOW_MILLIS;
        for (Map.Entry<Long, Map<String, Long>> window :
                actualCounts.headMap(endWindow).entrySet()) {
            windows++;
            UsageCounts counts = simulation.usageEndpoint.acceptedInTime(window.getKey());
            correctWindows += counts != null && isWithinTolerance(window.getValue(), counts) ? 1 : 0;
        }
        return new Result(
                seed, simulation.failure(), faults, simulation.usageEndpoint.receivedReports, windows, correctWindows);
    }

    private static boolean isWithinTolerance(Map<String, Long> actual, UsageCounts counts) {
        return actual.entrySet().stream()
                .allMatch(entry ->
                        Math.abs(entry.getValue() - counts.byWorkspace().getOrDefault(entry.getKey(), 0L))
                                <= Math.max(1, TOLERANCE * entry.getValue()));
    }
}
