package org.tanagerhinge.bench.experiment;

import java.util.Map;
import java.util.TreeMap;
import org.tanagerhinge.standin.load.ClientOutcome;
import org.tanagerhinge.standin.load.Tally;

/**
 * Describes the results of one run of a scenario.
 *
 * @param tokensComputed tokens that the engines computed
 * @param seconds length of the run
 * @param violations invariant violations that the nodes detected
 */
record Measurement(Map<String, Tally> tallies, long tokensComputed, double seconds, long violations) {
    int lost() {
        return count(ClientOutcome.LOST);
    }

    int mixed() {
        return count(ClientOutcome.MIXED);
    }

    int count(ClientOutcome ending) {
        return tallies.values().stream().mapToInt(tally -> tally.count(ending)).sum();
    }

    int doubled() {
        return tallies.values().stream().mapToInt(Tally::doubledCount).sum();
    }

    int falselyNotRun() {
        return tallies.values().stream().mapToInt(Tally::falselyNotRunCount).sum();
    }

    /** Returns complete answers within their targets, per second. */
    double goodput() {
        return tallies.values().stream().mapToInt(Tally::inTime).sum() / seconds;
    }

    /** Returns tokens of complete answers within their targets, per second. */
    double goodTokens() {
        return tallies.values().stream().mapToLong(Tally::tokensInTime).sum() / seconds;
    }

    /** Returns the share of the computed tokens that no caller received in a complete answer. */
    double wasted() {
        long received = tallies.values().stream().mapToLong(Tally::tokens).sum();
        return tokensComputed == 0 ? 0 : Math.max(0, 1 - (double) received / tokensComputed);
    }

    Map<Integer, Integer> codes() {
        Map<Integer, Integer> codes = new TreeMap<>();
        tallies.values()
                .forEach(tally -> tally.codes().forEach((code, count) -> codes.merge(code, count, Integer::sum)));
        return codes;
    }

    /**
     * Returns whether no answer was lost, mixed up, duplicated or falsely reported as not run, and no invariant
     * violated.
     */
    boolean isClean() {
        return lost() == 0 && mixed() == 0 && doubled() == 0 && falselyNotRun() == 0 && violations == 0;
    }
}
