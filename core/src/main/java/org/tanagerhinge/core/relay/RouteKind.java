package org.tanagerhinge.core.relay;

/** What may be repeated of a route's requests. */
public enum RouteKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** Not idempotent: may begin once at the most. */
    UNSAFE,
    /** Completed by a series of numbered events; repeated only if the route says that it can be resumed. */
    STREAM
}
