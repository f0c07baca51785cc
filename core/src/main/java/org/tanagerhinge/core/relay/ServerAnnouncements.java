package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What servers have said of themselves in their answers, by life: that they leave, and until when they want nothing.
 *
 * <p>Answers a server that leaves while the platform's store can't take that in: by its registration it is ready, and the
 * registration may lapse and come back meanwhile. So what it said is kept apart from the list of servers. It is bounded, and
 * lapses: a server that is still there long after it said that it leaves says so again in its next answer.
 */
public final class ServerAnnouncements {
    /** How long it is remembered that a server leaves: longer than one takes to do so, in milliseconds. */
    static final long LEAVING_TTL_MILLIS = 600_000;
    /** ServerSnapshot whose words are remembered at the most; the oldest words make room. */
    static final int MAX_SERVERS = 1_024;
    /** How often a node tells the others of a server that leaves: datagrams are lost. */
    private static final int REPORTS_PER_ANNOUNCEMENT = 3;
    /** ServerSnapshot told in one report at the most. */
    static final int MAX_SERVERS_PER_REPORT = 16;

    private final Map<String, Announcement> announcementByInstanceId = new LinkedHashMap<>();

    private ServerAnnouncements() {}

    /** Returns the words of servers that have said nothing. */
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
     * Notes that a server said that it leaves.
     *
     * @return whether that is news
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
     * Takes from another node that a server said that it leaves.
     *
     * @return whether that is news
     */
    public boolean recordPeerReportedLeaving(String instanceId, long nowMillis) {
        boolean isNew = recordLeaving(instanceId, nowMillis);
        if (isNew) {
            announcement(instanceId).pendingReports = 0;
        }
        return isNew;
    }

    /** Notes that a server wants no requests of this node until a time. */
    public void recordBackoff(String instanceId, long untilMillis) {
        Announcement announcement = announcement(instanceId);
        announcement.backoffUntilMillis = Math.max(announcement.backoffUntilMillis, untilMillis);
    }

    /** Returns whether a server has said that it leaves. */
    public boolean isLeaving(String instanceId, long nowMillis) {
        Announcement announcement = announcementByInstanceId.get(instanceId);
        return announcement != null && nowMillis < announcement.leavingUntilMillis;
    }

    /** Returns for how long a server wants nothing of this node, in milliseconds; 0 if it takes requests. */
    public long backoffMillis(String instanceId, long nowMillis) {
        Announcement announcement = announcementByInstanceId.get(instanceId);
        return announcement == null || nowMillis >= announcement.backoffUntilMillis
                ? 0
                : announcement.backoffUntilMillis - nowMillis;
    }

    /** Returns whether a server may be sent requests, by all that it has said. */
    public boolean acceptsRequests(String instanceId, long nowMillis) {
        Announcement announcement = announcementByInstanceId.get(instanceId);
        return announcement == null || announcement.expired(nowMillis);
    }

    /** Returns the lives of servers that have said since the last report that they leave, to be told now. */
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

    /** Forgets what has lapsed. */
    public void removeExpired(long nowMillis) {
        announcementByInstanceId.values().removeIf(announcement -> announcement.expired(nowMillis));
    }

    /** Returns how many servers' words are remembered. */
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
