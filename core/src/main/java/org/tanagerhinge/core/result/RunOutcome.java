package org.tanagerhinge.core.result;

import java.util.Locale;

/** What is known about whether a request ran, as told to its caller. */
public enum RunOutcome {
    /** It provably did not run, and will not. */
    NOT_RUN,
    /** It may have run, in part or whole. */
    UNKNOWN,
    /** It ran, and its result is known. */
    COMPLETE;

    /** Returns the word used in error bodies, for example {@code not_run}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
