package org.tanagerhinge.bench.soak;

import java.util.EnumMap;
import java.util.Map;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.invariant.InvariantMonitor;

/** Counts the invariant checks of a run and aborts the run at the first violation. */
final class InvariantChecks implements InvariantMonitor {
    private final Map<Invariant, Long> counts = new EnumMap<>(Invariant.class);

    @Override
    public void recordHeld(Invariant invariant) {
        counts.merge(invariant, 1L, Long::sum);
    }

    @Override
    public void recordViolation(Invariant invariant, String detail) {
        throw new SoakFailure(invariant, detail);
    }

    Map<Invariant, Long> counts() {
        return counts;
    }
}
