package org.tanagerhinge.core.config;

/** The revisions of the two documents that make up a configuration; zero where a document is not there yet. */
public record ConfigRevision(long profiles, long servers) {
    /** The revision of a node that has no configuration. */
    public static final ConfigRevision NONE = new ConfigRevision(0, 0);

    /** Returns the revision with the given numbers. */
    public static ConfigRevision of(long profiles, long servers) {
        return new ConfigRevision(profiles, servers);
    }

    /** Returns whether any document of the other is newer than here. */
    public boolean isBehind(ConfigRevision other) {
        return profiles < other.profiles || servers < other.servers;
    }

    @Override
    public String toString() {
        return profiles + "/" + servers;
    }
}
