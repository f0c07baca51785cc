package org.tanagerhinge.core.duty;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts the requests of each workspace that servers started in one usage window.
 *
 * @param window number of the window
 * @param byWorkspace started requests by workspace name
 */
public record UsageCounts(long window, SortedMap<String, Long> byWorkspace) {
    public UsageCounts {
        byWorkspace = Collections.unmodifiableSortedMap(new TreeMap<>(byWorkspace));
    }

    /** Returns the sum over all workspaces. */
    public long total() {
        return byWorkspace.values().stream().mapToLong(Long::longValue).sum();
    }
}
