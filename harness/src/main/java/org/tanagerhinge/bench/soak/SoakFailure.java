package org.tanagerhinge.bench.soak;

import org.tanagerhinge.core.invariant.Invariant;

/** Thrown within a run when a promise was broken. */
final class SoakFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SoakFailure(Invariant invariant, String detail) {
        super(invariant.label() + ": " + detail);
    }
}
