package org.tanagerhinge.core.relay;

/** Determines whether the requests of a route may be retried. */
public enum RouteKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** Not idempotent: may start at most once. */
    UNSAFE,
    /** Response is a stream of numbered events; retried only if the route is resumable. */
    STREAM
}
