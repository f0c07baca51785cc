package org.tanagerhinge.core.config;

/** Both shared documents as a node holds them. */
public record ClusterConfig(ProfilesDocument profiles, ServersDocument servers) {
    /** What a node holds before it has heard of any configuration. */
    public static final ClusterConfig EMPTY = new ClusterConfig(ProfilesDocument.EMPTY, ServersDocument.EMPTY);

    /** Returns the revisions of the two documents. */
    public ConfigRevision revision() {
        return new ConfigRevision(profiles.revision(), servers.revision());
    }

    /** Returns whether both documents are there. */
    public boolean isComplete() {
        return profiles.revision() > 0 && servers.revision() > 0;
    }

    /**
     * Returns the newer of each document.
     *
     * <p>A late or doubled message, or a store that answers from an old replica, can offer an older document; were it
     * taken, an accepted change would revert. Taking the greater revision of each document rules that out.
     */
    public ClusterConfig merge(ClusterConfig other) {
        return new ClusterConfig(
                other.profiles.revision() > profiles.revision() ? other.profiles : profiles,
                other.servers.revision() > servers.revision() ? other.servers : servers);
    }
}
