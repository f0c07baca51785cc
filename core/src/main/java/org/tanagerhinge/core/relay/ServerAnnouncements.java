package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks what server instances announced in their responses: that they are leaving, or until when they want no
 * requests.
 *
 * <p>A server may be leaving while the platform's store can't record it; its registration then still says that it is
 * ready, and may lapse and come back. Announcements are therefore kept apart from the server list. Their number is
 * bounded, and they expire: a server that is still there repeats its announcement in its next response.
 */
public final class ServerAnnouncements {
    /** Time for which an instance counts as leaving, in milliseconds: longer than a shutdown takes. */
    static final long LEAVING_TTL_MILLIS = 600_000;
    /** Largest number of instances tracked; the oldest announcement is evicted first. */
    static final int MAX_SERVERS = 1_024;
    /** Reports that mention a leaving instance, since datagrams may be lost. */
    private static final int REPORTS_PER_ANNOUNCEMENT = 3;
    /** Largest number of leaving instances in one report. */
    static final int MAX_SERVERS_PER_REPORT = 16;

    private final Map<String, Announcement> announcementByInstanceId = new LinkedHashMap<>();

    private ServerAnnouncements() {}

    /** Creates an empty set of announcements. */
    public static ServerAnnouncements create() {
        return new ServerAnnouncements();
    }

    private static final class Announcement {
        private long leavingUntilMillis = Long.MIN_VALUE;
        private long backoffUntilMillis = Long.MIN_VALUE;
        private int pendingReports;

        private boolean expired(long nowMillis) {
            return nowMillis >= leavingUntilMillis && nowMillis >= backoffUntilMillis;
        }
    }

    /**
     * Records that an instance announced that it is leaving.
     *
     * @return whether this wasn't known
     */
    public boolean recordLeaving(String instanceId, long nowMillis) {
        Announcement announcement = announcement(instanceId);
        boolean isNew = nowMillis >= announcement.leavingUntilMillis;
        announcement.leavingUntilMillis = nowMillis + LEAVING_TTL_MILLIS;
        if (isNew) {
            announcement.pendingReports = REPORTS_PER_ANNOUNCEMENT;
        }
        return isNew;
    }

    /**
     * Records a peer's report that an instance is leaving; it isn't forwarded to other peers.
     *
     * @return whether this wasn't known
     */
    public boolean recordPeerReportedLeaving(String instanceId, long nowMillis) {
        boolean isNew = recordLeaving(instanceId, nowMillis);
        if (isNew) {
            announcement(instanceId).pendingReports = 0;
        }
        return isNew;
    }

    /**
     * Records that an instance wants no requests of this node until a time; an earlier time than the recorded one is
     * ignored.
     */
    public void recordBackoff(String instanceId, long untilMillis) {
        Announcement announcement = announcement(instanceId);
        announcement.backoffUntilMillis = Math.max(announcement.backoffUntilMillis, untilMillis);
    }

    /** Returns whether an instance is leaving. */
    public boolean isLeaving(String instanceId, long nowMillis) {
        Announcement announcement = announcementByInstanceId.get(instanceId);
        return announcement != null && nowMillis < announcement.leavingUntilMillis;
    }

    /** Returns for how long an instance wants no requests of this node, in milliseconds; 0 if it accepts them. */
    public long backoffMillis(String instanceId, long nowMillis) {
        Announcement announcement = announcementByInstanceId.get(instanceId);
        return announcement == null || nowMillis >= announcement.backoffUntilMillis
                ? 0
                : announcement.backoffUntilMillis - nowMillis;
    }

    /** Returns whether requests may be sent to an instance, by what it announced. */
    public boolean acceptsRequests(String instanceId, long nowMillis) {
        Announcement announcement = announcementByInstanceId.get(instanceId);
        return announcement == null || announcement.expired(nowMillis);
    }

    /** Returns the ids of leaving instances for the next report, and counts them as reported once more. */
    public List<String> nextLeavingReport() {
        List<String> leaving = new ArrayList<>();
        for (Map.Entry<String, Announcement> entry : announcementByInstanceId.entrySet()) {
            if (entry.getValue().pendingReports > 0 && leaving.size() < MAX_SERVERS_PER_REPORT) {
                entry.getValue().pendingReports--;
                leaving.add(entry.getKey());
            }
        }
        return leaving;
    }

    /** Removes expired announcements. */
    public void removeExpired(long nowMillis) {
        announcementByInstanceId.values().removeIf(announcement -> announcement.expired(nowMillis));
    }

    /** Returns the number of instances tracked. */
    public int size() {
        return announcementByInstanceId.size();
    }

    private Announcement announcement(String instanceId) {
        Announcement existing = announcementByInstanceId.get(instanceId);
        if (existing != null) {
            return existing;
        }
        if (announcementByInstanceId.size() >= MAX_SERVERS) {
            Iterator<String> oldest = announcementByInstanceId.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        Announcement added = new Announcement();
        announcementByInstanceId.put(instanceId, added);
        return added;
    }
}
