package org.tanagerhinge.bench.fleet;

import java.util.BitSet;
import java.util.SplittableRandom;

/** Simulates the host of an engine, on which work takes longer in random periods. */
final class HostModel {
    private final HostSpeeds speeds;
    private final double usualWorkTime;
    private final SplittableRandom random;
    private final BitSet slowPeriods = new BitSet();
    private int drawnPeriods;

    /**
     * Creates a host.
     *
     * @param random draws the slow periods of this host only, so that they don't depend on the traffic
     */
    HostModel(HostSpeeds speeds, int engineIndex, SplittableRandom random) {
        this.speeds = speeds;
        this.usualWorkTime = speeds.workTimeFactor(engineIndex);
        this.random = random;
    }

    /** Returns how long work takes now, relative to nominal. */
    double workTime(double nowMillis) {
        return usualWorkTime * (isSlow((int) (nowMillis / speeds.periodMillis())) ? speeds.slowFactor() : 1);
    }

    private boolean isSlow(int period) {
        while (drawnPeriods <= period) {
            slowPeriods.set(drawnPeriods++, random.nextDouble() < speeds.slowShare());
        }
        return slowPeriods.get(period);
    }
}
