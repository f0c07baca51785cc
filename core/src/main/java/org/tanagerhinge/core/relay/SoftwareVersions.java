package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks which software versions of a service have left, so that a stream whose origin is unknown isn't taken for one of
 * the versions that still serve.
 *
 * <p>A node that has just started doesn't know what left before. It learns it from another node or from the platform's
 * store, or by waiting until no stream can be older than itself. So does a node that had no list of servers for a time.
 */
public final class SoftwareVersions {
    /** Time after which no caller resumes a stream of a version that has left, in milliseconds. */
    public static final long RETENTION_MILLIS = StreamOrigins.RETENTION_MILLIS;
    /** Time between two lists of servers, in milliseconds, in which a version may come and leave unnoticed. */
    static final long MAX_LIST_GAP_MILLIS = 5_000;

    private final Map<String, Map<String, Long>> departedAtMillis = new HashMap<>();
    private long trackedSinceMillis = Long.MAX_VALUE;
    private long trackedUntilMillis = Long.MIN_VALUE;
    private boolean historyReceived;

    private SoftwareVersions() {}

    /** Creates a tracker without history. */
    static SoftwareVersions create() {
        return new SoftwareVersions();
    }

    /**
     * A version of which a server has left.
     *
     * @param ageMillis time since the last of its servers left
     */
    public record Departed(String service, String softwareVersion, long ageMillis) {}

    /** Records that a list of servers was current at a time, in milliseconds. */
    void trackedAt(long listMillis) {
        boolean interrupted =
                trackedUntilMillis != Long.MIN_VALUE && listMillis - trackedUntilMillis > MAX_LIST_GAP_MILLIS;
        if (interrupted) {
            historyReceived = false;
        }
        trackedSinceMillis = interrupted ? listMillis : Math.min(trackedSinceMillis, listMillis);
        trackedUntilMillis = Math.max(trackedUntilMillis, listMillis);
    }

    /** Records that a server of a version has left. */
    void recordDeparture(String service, String softwareVersion, long nowMillis) {
        departedAtMillis.computeIfAbsent(service, name -> new HashMap<>()).merge(softwareVersion, nowMillis, Math::max);
    }

    /** Adds the history that another node or the platform's store has. */
    public void recordHistory(List<Departed> departed, long nowMillis) {
        departed.forEach(version ->
                recordDeparture(version.service(), version.softwareVersion(), nowMillis - version.ageMillis()));
        historyReceived = true;
    }

    /** Returns whether no version of which a stream may be resumed has left unnoticed. */
    public boolean complete(long nowMillis) {
        return historyReceived
                || (trackedSinceMillis != Long.MAX_VALUE && nowMillis - trackedSinceMillis > RETENTION_MILLIS);
    }

    /** Returns the versions of a service that have left recently. */
    Set<String> departed(String service, long nowMillis) {
        Map<String, Long> departures = departedAtMillis.getOrDefault(service, Map.of());
        Set<String> versions = new TreeSet<>();
        departures.forEach((version, atMillis) -> {
            if (nowMillis - atMillis <= RETENTION_MILLIS) {
                versions.add(version);
            }
        });
        return versions;
    }

    /** Returns the versions of all services that have left recently. */
    public List<Departed> history(long nowMillis) {
        List<Departed> history = new ArrayList<>();
        for (String service : departedAtMillis.keySet()) {
            for (String version : departed(service, nowMillis)) {
                long ageMillis = nowMillis - departedAtMillis.get(service).get(version);
                history.add(new Departed(service, version, Math.max(0, ageMillis)));
            }
        }
        return history;
    }

    /** Removes versions that left too long ago to matter. */
    public void removeExpired(long nowMillis) {
        departedAtMillis
                .values()
                .forEach(versions -> versions.values().removeIf(atMillis -> nowMillis - atMillis > RETENTION_MILLIS));
        departedAtMillis.values().removeIf(Map::isEmpty);
    }
}
