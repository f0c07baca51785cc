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
    static final long LEAVING_MILLIS = 600_000;
    /** Servers whose words are remembered at the most; the oldest words make room. */
    static final int MOST = 1_024;
    /** How often a node tells the others of a server that leaves: datagrams are lost. */
    private static final int TELLINGS = 3;
    /** Servers told in one report at the most. */
    static final int MOST_TOLD = 16;

    private final Map<String, Announcement> words = new LinkedHashMap<>();

    private ServerAnnouncements() {}

    /** Returns the words of servers that have said nothing. */
    public static ServerAnnouncements create() {
        return new ServerAnnouncements();
    }

    private static final class Announcement {
        private long leavingUntil = Long.MIN_VALUE;
        private long nothingUntil = Long.MIN_VALUE;
        private int tellings;

        private boolean over(long now) {
            return now >= leavingUntil && now >= nothingUntil;
        }
    }

    /**
     * Notes that a server said that it leaves.
     *
     * @return whether that is news
     */
    public boolean leaves(String life, long now) {
        Announcement word = word(life);
        boolean news = now >= word.leavingUntil;
        word.leavingUntil = now + LEAVING_MILLIS;
        if (news) {
            word.tellings = TELLINGS;
        }
        return news;
    }

    /**
     * Takes from another node that a server said that it leaves.
     *
     * @return whether that is news
     */
    public boolean heardThatLeaves(String life, long now) {
        boolean news = leaves(life, now);
        if (news) {
            word(life).tellings = 0;
        }
        return news;
    }

    /** Notes that a server wants no requests of this node until a time. */
    public void wantsNothing(String life, long until) {
        Announcement word = word(life);
        word.nothingUntil = Math.max(word.nothingUntil, until);
    }

    /** Returns whether a server has said that it leaves. */
    public boolean leaving(String life, long now) {
        Announcement word = words.get(life);
        return word != null && now < word.leavingUntil;
    }

    /** Returns for how long a server wants nothing of this node, in milliseconds; 0 if it takes requests. */
    public long nothingMillis(String life, long now) {
        Announcement word = words.get(life);
        return word == null || now >= word.nothingUntil ? 0 : word.nothingUntil - now;
    }

    /** Returns whether a server may be sent requests, by all that it has said. */
    public boolean takesRequests(String life, long now) {
        Announcement word = words.get(life);
        return word == null || word.over(now);
    }

    /** Returns the lives of servers that have said since the last report that they leave, to be told now. */
    public List<String> news() {
        List<String> news = new ArrayList<>();
        for (Map.Entry<String, Announcement> entry : words.entrySet()) {
            if (entry.getValue().tellings > 0 && news.size() < MOST_TOLD) {
                entry.getValue().tellings--;
                news.add(entry.getKey());
            }
        }
        return news;
    }

    /** Forgets what has lapsed. */
    public void trim(long now) {
        words.values().removeIf(word -> word.over(now));
    }

    /** Returns how many servers' words are remembered. */
    public int size() {
        return words.size();
    }

    private Announcement word(String life) {
        Announcement known = words.get(life);
        if (known != null) {
            return known;
        }
        if (words.size() >= MOST) {
            Iterator<String> oldest = words.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        Announcement fresh = new Announcement();
        words.put(life, fresh);
        return fresh;
    }
}
