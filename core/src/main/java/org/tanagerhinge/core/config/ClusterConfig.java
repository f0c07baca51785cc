package org.tanagerhinge.core.config;

/** Holds a node's current version of the two shared documents. */
public record ClusterConfig(ProfilesDocument profiles, ServersDocument servers) {
    /** The configuration of a node that has not received any. */
    public static final ClusterConfig EMPTY = new ClusterConfig(ProfilesDocument.EMPTY, ServersDocument.EMPTY);

    /** Returns the revisions of the two documents. */
    public ConfigRevision revision() {
        return new ConfigRevision(profiles.revision(), servers.revision());
    }

    /** Returns whether both documents have been received. */
    public boolean isComplete() {
        return profiles.revision() > 0 && servers.revision() > 0;
    }

    /**
     * Returns the newer version of each document.
     *
     * <p>A delayed or duplicated message, or a read from a stale replica of the store, can offer an older document;
     * applying it would revert an accepted change.
     */
    public ClusterConfig merge(ClusterConfig other) {
        return new ClusterConfig(
                other.profiles.revision() > profiles.revision() ? other.profiles : profiles,
                other.servers.revision() > servers.revision() ? other.servers : servers);
    }
}
