package org.tanagerhinge.standin.load;

/** Outcome of a request as seen by its caller. */
public enum ClientOutcome {
    /** The router refused the connection; a load balancer would have chosen another router. */
    UNREACHED,
    /** A complete answer to this request. */
    WHOLE,
    /** The router reported that the request did not run. */
    NOT_RUN,
    /** The router reported that the outcome is unknown. */
    UNKNOWN,
    /** The answer was truncated and reported as such. */
    CUT,
    /** No response, or a truncated answer that was reported as complete. */
    LOST,
    /** The answer to another request, or one with a missing or duplicated token. */
    MIXED
}
