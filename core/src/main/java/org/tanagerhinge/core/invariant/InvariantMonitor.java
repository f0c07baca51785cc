package org.tanagerhinge.core.invariant;

import java.util.function.Supplier;

/**
 * Receives the results of invariant checks.
 *
 * <p>A daemon counts and logs a violation and continues; in tests and simulations a violation ends the run.
 */
public interface InvariantMonitor {
    /** Records a check that held. */
    void recordHeld(Invariant invariant);

    /** Records a check that did not hold. */
    void recordViolation(Invariant invariant, String detail);

    /** Checks an invariant; the detail is only built if it does not hold. */
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
