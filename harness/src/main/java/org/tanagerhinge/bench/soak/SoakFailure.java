package org.tanagerhinge.bench.soak;

import org.tanagerhinge.core.invariant.Invariant;

/** Signals that an invariant was violated in a run. */
final class SoakFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SoakFailure(Invariant invariant, String detail) {
        super(invariant.label() + ": " + detail);
    }
}
