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
    private static final long LENGTH_MILLIS = 90_000;
    private static final long FIRST_FAULT_MILLIS = 8_000;
    private static final long LAST_FAULT_MILLIS = 70_000;
    private static final double TOLERANCE = 0.05;

    private DutySoak() {}

    /**
     * What became of a run.
     *
     * @param failure what was broken, empty if nothing was
     * @param windows windows that ended well before the run did
     * @param right of these, windows whose report came in time and within the tolerance
     */
    public record Result(long seed, String failure, int faults, int calls, int windows, int right) {
        public boolean passed() {
            return failure.isEmpty();
        }
    }

    /** Plays one seed; even ones on a platform that checks fencing tokens, odd ones on one that doesn't. */
    public static Result run(long seed, DeliberateBug bug) {
        return play(seed, bug, new ArrayList<>());
    }

    /** Plays a row of seeds on all processors. */
    public static List<Result> runAll(long first, int seeds, DeliberateBug bug) {
        return LongStream.range(first, first + seeds)
                .parallel()
                .mapToObj(seed -> run(seed, bug))
                .toList();
    }

    /** Returns what happened in the run of a seed. */
    public static List<String> explain(long seed, DeliberateBug bug) {
        List<String> log = new ArrayList<>();
        play(seed, bug, log);
        return log;
    }

    private static Result play(long seed, DeliberateBug bug, List<String> log) {
        DutyRun run = new DutyRun(seed, seed % 2 == 0, bug);
        TreeMap<Long, Map<String, Long>> truth = start(run, (int) run.between(2, 8));
        int faults = 0;
        for (long at = FIRST_FAULT_MILLIS; at < LAST_FAULT_MILLIS; at += run.between(500, 9_000)) {
            faults++;
            run.after(at, () -> new DutyFaults(run).strike());
        }
        run.runUntil(LENGTH_MILLIS);
        log.addAll(run.log());
        return result(run, seed, faults, truth);
    }

    /** Plays nodes without random faults; {@code script} may add some. */
    public static Result calm(long seed, int nodes, java.util.function.Consumer<DutyScript> script) {
        DutyRun run = new DutyRun(seed, true, DeliberateBug.NONE);
        TreeMap<Long, Map<String, Long>> truth = start(run, nodes);
        script.accept(new DutyScript(run));
        run.runUntil(LENGTH_MILLIS);
        return result(run, seed, 0, truth);
    }

    private static TreeMap<Long, Map<String, Long>> start(DutyRun run, int count) {
        TreeMap<Long, Map<String, Long>> truth = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            run.nodes.add(new DutyNode(run, "node-" + i, i < 2 ? 150 : 27, truth));
        }
        run.nodes.forEach(node -> run.after(run.between(0, 300), node::start));
        return truth;
    }

    private static Result result(DutyRun run, long seed, int faults, TreeMap<Long, Map<String, Long>> truth) {
        int windows = 0;
        int right = 0;
        long last = (run.trueMillis() - 2 * DutyRun.LATE_MILLIS) / DutyRun.WINDOW_MILLIS;
        for (Map.Entry<Long, Map<String, Long>> window : truth.headMap(last).entrySet()) {
            windows++;
            UsageCounts counts = run.address.inTime(window.getKey());
            right += counts != null && near(window.getValue(), counts) ? 1 : 0;
        }
        return new Result(seed, run.failure(), faults, run.address.calls, windows, right);
    }

    private static boolean near(Map<String, Long> truth, UsageCounts counts) {
        return truth.entrySet().stream()
                .allMatch(entry ->
                        Math.abs(entry.getValue() - counts.byWorkspace().getOrDefault(entry.getKey(), 0L))
                                <= Math.max(1, TOLERANCE * entry.getValue()));
    }
}
