package org.tanagerhinge.core.duty;

import java.util.Optional;
import java.util.TreeMap;

/**
 * Remembers which usage windows are committed, for as long as the process runs. The store may be restored from an older
 * copy and then lacks commits whose counts were reported.
 */
final class CommittedWindows {
    private final TreeMap<Long, UsageCounts> countsByWindow = new TreeMap<>();
    private long through = Long.MIN_VALUE;

    private CommittedWindows() {}

    static CommittedWindows create() {
        return new CommittedWindows();
    }

    /** Records the committed counts of a window. */
    void record(UsageCounts counts) {
        countsByWindow.put(counts.window(), counts);
        recordThrough(counts.window());
    }

    /** Records that the windows up to and including this one were committed by some node or will not be. */
    void recordThrough(long window) {
        through = Math.max(through, window);
    }

    /** Returns the newest committed window known, {@link Long#MIN_VALUE} if there is none. */
    long through() {
        return through;
    }

    /** Returns the committed counts of a window if this node knows them. */
    Optional<UsageCounts> counts(long window) {
        return Optional.ofNullable(countsByWindow.get(window));
    }

    /** Forgets the counts of all windows up to and including this one. */
    void dropThrough(long window) {
        countsByWindow.headMap(window, true).clear();
    }
}
