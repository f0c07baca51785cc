package org.tanagerhinge.core.attempt;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers the crashes of servers that this node has seen lately, and selects those to report to other nodes.
 *
 * <p>Another node may have had a run at the server that it doesn't suspect, since the run had ended there.
 */
public final class RecentCrashes {
    private static final long RETENTION_MILLIS = 5_000;
    /** Number of times that a crash is reported, since datagrams may be lost. */
    private static final int REPORT_REPETITIONS = 3;

    private static final int MAX_CRASHES_PER_REPORT = 8;
    private static final int MAX_CRASHES = 256;

    private static final class Seen {
        private final long atMillis;
        private int pendingReports = REPORT_REPETITIONS;

        private Seen(long atMillis) {
            this.atMillis = atMillis;
        }
    }

    private final Map<Integer, Seen> crashes = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Seen> eldest) {
            return size() > MAX_CRASHES;
        }
    };

    private RecentCrashes() {}

    /** Creates an empty memory. */
    public static RecentCrashes create() {
        return new RecentCrashes();
    }

    /**
     * The crash of a server.
     *
     * @param instanceHash hash of the server's instance id
     */
    public record CrashedServer(int instanceHash, long ageMillis) {}

    /** Records a crash that this node has seen. */
    public void add(String instanceId, long nowMillis) {
        crashes.putIfAbsent(instanceId.hashCode(), new Seen(nowMillis));
    }

    /** Returns the crashes to be reported now, the newest ones. */
    public List<CrashedServer> takePendingReports(long nowMillis) {
        crashes.values().removeIf(seen -> nowMillis - seen.atMillis > RETENTION_MILLIS);
        List<CrashedServer> reports = new ArrayList<>();
        crashes.forEach((instanceHash, seen) -> {
            if (seen.pendingReports > 0) {
                reports.add(new CrashedServer(instanceHash, nowMillis - seen.atMillis));
            }
        });
        List<CrashedServer> newest =
                List.copyOf(reports.subList(Math.max(0, reports.size() - MAX_CRASHES_PER_REPORT), reports.size()));
        newest.forEach(report -> crashes.get(report.instanceHash()).pendingReports--);
        return newest;
    }
}
