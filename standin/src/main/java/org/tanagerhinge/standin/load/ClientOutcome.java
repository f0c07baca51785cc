package org.tanagerhinge.standin.load;

/** How a request ended for its caller. */
public enum ClientOutcome {
    /** No connection to the router; the balancer before the routers would have chosen another one. */
    UNREACHED,
    /** A whole answer to this very request. */
    WHOLE,
    /** Told that it did not run. */
    NOT_RUN,
    /** Told that its outcome is unknown. */
    UNKNOWN,
    /** Told in the midst of an answer that it broke off. */
    CUT,
    /** No word at all, or an answer passed off as whole that is not. */
    LOST,
    /** The answer to another request, or one with a token missing or doubled. */
    MIXED
}
