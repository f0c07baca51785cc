package org.tanagerhinge.core.duty;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The requests of each workspace that servers began in one window.
 *
 * @param window the window's number
 * @param byWorkspace requests begun, by the name of the workspace
 */
public record UsageCounts(long window, SortedMap<String, Long> byWorkspace) {
    public UsageCounts {
        byWorkspace = Collections.unmodifiableSortedMap(new TreeMap<>(byWorkspace));
    }

    /** Returns the requests of all workspaces together. */
    public long total() {
        return byWorkspace.values().stream().mapToLong(Long::longValue).sum();
    }
}
