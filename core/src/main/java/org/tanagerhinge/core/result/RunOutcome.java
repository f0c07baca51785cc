package org.tanagerhinge.core.result;

import java.util.Locale;

/** Tells a caller what is known about whether its request ran. */
public enum RunOutcome {
    /** The request provably did not run and will not. */
    NOT_RUN,
    /** The request may have run, in part or completely. */
    UNKNOWN,
    /** The request ran, and its result is known. */
    COMPLETE;

    /** Returns the name used in error bodies, for example {@code not_run}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
