package org.tanagerhinge.bench.fleet;

import java.util.List;

/**
 * Describes how long work takes on the hosts of simulated engines, relative to nominal.
 *
 * <p>Each host is slow in a random share of consecutive periods, because of other work on it.
 *
 * @param workTimeFactors usual work times of engines, assigned in turn; 1 is nominal, greater is slower
 * @param slowFactor multiple of the usual work time in a slow period
 * @param slowShare probability that a period is slow
 * @param periodMillis length of a period
 */
public record HostSpeeds(List<Double> workTimeFactors, double slowFactor, double slowShare, double periodMillis) {
    /** Hosts without differences; their engines state no work time. */
    public static final HostSpeeds NOMINAL = new HostSpeeds(List.of(1.0), 1, 0, 1_000);

    /** Returns whether engines state their work time. */
    boolean stated() {
        return !equals(NOMINAL);
    }

    /** Returns the usual work time of an engine. */
    double workTimeFactor(int engineIndex) {
        return workTimeFactors.get(engineIndex % workTimeFactors.size());
    }
}
