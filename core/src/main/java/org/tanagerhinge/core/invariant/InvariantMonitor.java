package org.tanagerhinge.core.invariant;

import java.util.function.Supplier;

/**
 * Takes the results of checks.
 *
 * <p>In a daemon a violation is counted and logged and the program goes on; in tests and random runs it ends the run.
 */
public interface InvariantMonitor {
    /** Notes that a check was made and held. */
    void recordHeld(Invariant invariant);

    /** Notes that a check was made and did not hold. */
    void recordViolation(Invariant invariant, String detail);

    /** Makes one check; the detail is only built when it does not hold. */
    default void check(Invariant invariant, boolean holds, Supplier<String> detail) {
        if (holds) {
            recordHeld(invariant);
        } else {
            recordViolation(invariant, detail.get());
        }
    }

    /** Returns a monitor that throws on a violation. */
    static InvariantMonitor strict() {
        return new InvariantMonitor() {
            @Override
            public void recordHeld(Invariant promise) {}

            @Override
            public void recordViolation(Invariant promise, String detail) {
                throw new IllegalStateException(promise.label() + " violated: " + detail);
            }
        };
    }
}
