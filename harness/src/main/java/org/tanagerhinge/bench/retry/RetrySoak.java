package org.tanagerhinge.bench.retry;

import java.util.List;
import java.util.stream.LongStream;

/** Runs random fleets of gateways in front of failing servers, one per seed, and checks the shared retry budget. */
public final class RetrySoak {
    private RetrySoak() {}

    /**
     * Describes the result of one run.
     *
     * @param nodes largest number of processes that ran at once
     * @param faults faults that were injected
     * @param requests requests that reached a process
     * @param retriesWanted failed attempts after which a retry was asked for
     * @param retriesMade retries that the budget allowed
     * @param calmRetriesWanted of the wanted retries, those without a fault in the window before
     * @param calmRetriesMade of the retries made, those without a fault in the window before
     * @param worst window that uses the largest share of what is allowed
     */
    public record Result(
            long seed,
            int nodes,
            int faults,
            long requests,
            long retriesWanted,
            long retriesMade,
            long calmRetriesWanted,
            long calmRetriesMade,
            ArrivalRecord.Window worst) {
        /** Returns whether the budget was kept in all windows. */
        public boolean passed() {
            return !worst.exceeded();
        }
    }

    /** Runs one seed; the same seed gives the same run. */
    public static Result run(long seed) {
        return new FleetSimulation(seed).run();
    }

    /** Runs consecutive seeds in parallel and returns their results in order. */
    public static List<Result> runAll(long firstSeed, int seedCount) {
        return LongStream.range(firstSeed, firstSeed + seedCount)
                .parallel()
                .mapToObj(RetrySoak::run)
                .toList();
    }
}
