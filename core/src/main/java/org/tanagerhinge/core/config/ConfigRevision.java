package org.tanagerhinge.core.config;

/** Holds the revisions of the two documents of a configuration; zero for a document not received yet. */
public record ConfigRevision(long profiles, long servers) {
    /** The revision of a node without a configuration. */
    public static final ConfigRevision NONE = new ConfigRevision(0, 0);

    /** Returns the revision with the given document revisions. */
    public static ConfigRevision of(long profiles, long servers) {
        return new ConfigRevision(profiles, servers);
    }

    /** Returns whether any document of the other configuration is newer than this one's. */
    public boolean isBehind(ConfigRevision other) {
        return profiles < other.profiles || servers < other.servers;
    }

    @Override
    public String toString() {
        return profiles + "/" + servers;
    }
}
