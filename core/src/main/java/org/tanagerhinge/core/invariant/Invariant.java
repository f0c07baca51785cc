package org.tanagerhinge.core.invariant;

import java.util.Locale;

/** Lists the invariants that are checked at run time. */
public enum Invariant {
    /** No request of a higher tier is shed or preempted in favour of a lower tier. */
    TIER_ORDER,
    /** A class with queued requests receives its guaranteed share during bursts of other classes. */
    NO_STARVATION,
    /** A caller gets the complete answer to its own request, without gaps, repetitions or parts of other answers. */
    WHOLE_ANSWER,
    /** A request reported as not run has not run and does not run later. */
    NOT_RUN_IS_TRUE,
    /** A non-idempotent request starts at most once. */
    AT_MOST_ONCE,
    /** A backend server that is leaving gets no new requests. */
    LEAVING_IS_QUIET,
    /** A planned stop aborts no request in flight. */
    GRACEFUL_STOP,
    /** An applied configuration is never replaced by an older one. */
    CONFIG_FORWARD;

    /** Returns the name used in metrics and logs, for example {@code tier_order}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
