package org.tanagerhinge.bench.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.tanagerhinge.core.duty.UsageCounts;

/**
 * Random runs of duties under faults in series and overlapping: kills of one node and of all, suspensions, cuts from the store,
 * the platform and peers, stepped clocks, planned stops in a row, a store that is down, slow, loses answers or carries calls out
 * late, and a platform that does.
 */
public final class DutySoak {
    private static final long RUN_MILLIS = 90_000;
    private static final long FIRST_FAULT_MILLIS = 8_000;
    private static final long LAST_FAULT_MILLIS = 70_000;
    private static final double TOLERANCE = 0.05;

    private DutySoak() {}

    /**
     * What became of a run.
     *
     * @param failure what was broken, empty if nothing was
     * @param windows windows that ended well before the run did
     * @param correctWindows of these, windows whose report came in time and within the tolerance
     */
    public record Result(long seed, String failure, int faults, int reports, int windows, int correctWindows) {
        public boolean passed() {
            return failure.isEmpty();
        }
    }

    /** Plays one seed; even ones on a platform that checks fencing tokens, odd ones on one that doesn't. */
    public static Result run(long seed, DeliberateBug bug) {
        return simulate(seed, bug, new ArrayList<>());
    }

    /** Plays a row of seeds on all processors. */
    public static List<Result> runAll(long firstSeed, int seedCount, DeliberateBug bug) {
        return LongStream.range(firstSeed, firstSeed + seedCount)
                .parallel()
                .mapToObj(seed -> run(seed, bug))
                .toList();
    }

    /** Returns what happened in the run of a seed. */
    public static List<String> explain(long seed, DeliberateBug bug) {
        List<String> log = new ArrayList<>();
        simulate(seed, bug, log);
        return log;
    }

    private static Result simulate(long seed, DeliberateBug bug, List<String> log) {
        DutySimulation simulation = new DutySimulation(seed, seed % 2 == 0, bug);
        TreeMap<Long, Map<String, Long>> actualCounts = addNodes(simulation, (int) simulation.randomBetween(2, 8));
        int faultCount = 0;
        for (long atMillis = FIRST_FAULT_MILLIS;
                atMillis < LAST_FAULT_MILLIS;
                atMillis += simulation.randomBetween(500, 9_000)) {
            faultCount++;
            simulation.schedule(atMillis, () -> new DutyFaultInjector(simulation).injectRandomFault());
        }
        simulation.runUntil(RUN_MILLIS);
        log.addAll(simulation.log());
        return result(simulation, seed, faultCount, actualCounts);
    }

    /** Plays nodes without random faults; {@code script} may add some. */
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
