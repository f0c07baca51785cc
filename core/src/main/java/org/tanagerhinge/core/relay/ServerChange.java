package org.tanagerhinge.core.relay;

/** A change of what this node believes of a backend server. */
public record ServerChange(String id, String service, Kind kind) {
    /** What has changed. */
    public enum Kind {
        SEEN,
        DRAINING,
        GONE
    }
}
