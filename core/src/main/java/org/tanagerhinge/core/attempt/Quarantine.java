package org.tanagerhinge.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Requests under which servers have ended, and which of them are sent no more for now.
 *
 * <p>Answers the load pattern of a request that ends each server that begins to run it and comes again and again: each end
 * takes everything else that runs there with it, and servers end faster than they come back. Who stands beside such a request
 * is suspected as well, once for each end; a request that a server runs to its end isn't the cause, whatever it was beside, so
 * that clears it. Three different servers that ended under a request without that put it into quarantine.
 *
 * <p>Each node tells the others what it saw. What is told and kept is bounded and lapses: suspicions after {@link
 * #REMEMBER_MILLIS}, a quarantine after {@link #HOLD_MILLIS}, after which one more end brings it back.
 */
public final class Quarantine {
    /** ServerSnapshot that must have ended under a request: two may end beside a request that has nothing to do with it. */
    static final int ENDS = 3;
    /** How long a request is sent no more: as long as the platform's store keeps a lease at the most, in milliseconds. */
    public static final long HOLD_MILLIS = 600_000;
    /** How long an end is held against a request, in milliseconds. */
    static final long REMEMBER_MILLIS = 2 * HOLD_MILLIS;
    /** How long it is remembered that a request was cleared: longer than a suspicion is under way, in milliseconds. */
    private static final long CLEARED_MILLIS = 30_000;
    /** Nodes see one end of a server within this time of each other, in milliseconds: less than a start takes. */
    private static final long MOMENT_MILLIS = 2_000;
    /** Requests that are suspected at the most; the least suspected ones make room. */
    static final int MOST_SUSPECTED = 512;
    /** How often news is told: datagrams are lost. */
    private static final int TELLINGS = 3;
    /** News in one report at the most. */
    static final int MOST_NEWS = 32;
    /** What is told again for nodes that have come later, in one report at the most. */
    static final int MOST_STANDING = 4;

    private static final Comparator<Map.Entry<RequestFingerprint, Entry>> MOST_SUSPECTED_FIRST =
            Comparator.<Map.Entry<RequestFingerprint, Entry>>comparingInt(
                            entry -> -entry.getValue().ends.size())
                    .thenComparingInt(entry -> -entry.getValue().tellings);

    private final Map<RequestFingerprint, Entry> entries = new HashMap<>();
    private final Deque<RequestFingerprint> turns = new ArrayDeque<>();

    private Quarantine() {}

    /** Returns a quarantine that suspects nobody. */
    public static Quarantine create() {
        return new Quarantine();
    }

    /**
     * The end of a server under a request.
     *
     * @param server hash of the name of the server's life
     * @param ageMillis how long ago it was
     */
    public record End(int server, long ageMillis) {}

    /**
     * What one node tells another of a request.
     *
     * @param ends servers that ended under it, the newest ones
     * @param clearedMillis how long ago a server ran it to its end
     * @param heldMillis how long it is to be sent no more; 0 if it may be sent
     */
    public record Suspicion(
            RequestFingerprint request, List<End> ends, Optional<Long> clearedMillis, long heldMillis) {}

    /** A server's end at a time of this node's clock. */
    private record Ended(int server, long at) {
        /** A server doesn't end twice in a moment; one that ends again later was started in between. */
        private boolean same(int other, long otherAt) {
            return server == other && Math.abs(at - otherAt) <= MOMENT_MILLIS;
        }
    }

    private static final class Entry {
        private final List<Ended> ends = new ArrayList<>();

        private long clearedAt = Long.MIN_VALUE;
        private long heldUntil = Long.MIN_VALUE;
        private int tellings;

        private void end(int server, long at) {
            if (at > clearedAt && ends.stream().noneMatch(known -> known.same(server, at))) {
                ends.add(new Ended(server, at));
                ends.sort(Comparator.comparingLong(Ended::at));
            }
            if (ends.size() > ENDS) {
                ends.remove(0);
            }
            if (ends.size() >= ENDS) {
                heldUntil = Math.max(heldUntil, newest() + HOLD_MILLIS);
            }
        }

        private long newest() {
            return ends.isEmpty() ? Long.MIN_VALUE : ends.get(ends.size() - 1).at();
        }

        private void clear(long at) {
            clearedAt = Math.max(clearedAt, at);
            ends.removeIf(end -> end.at() <= clearedAt);
            if (ends.size() < ENDS) {
                heldUntil = Long.MIN_VALUE;
            }
        }

        /** Returns whether a server ran the request to its end after all that another node tells of it. */
        private boolean clearedSince(Suspicion told, long now) {
            return clearedAt != Long.MIN_VALUE
                    && told.ends().stream().noneMatch(end -> now - end.ageMillis() > clearedAt);
        }

        private boolean held(long now) {
            return now < heldUntil;
        }

        private boolean over(long now) {
            ends.removeIf(end -> now - end.at() > REMEMBER_MILLIS);
            return ends.isEmpty() && !held(now) && (clearedAt == Long.MIN_VALUE || now - clearedAt > CLEARED_MILLIS);
        }

        private Suspicion told(RequestFingerprint request, long now) {
            return new Suspicion(
                    request,
                    ends.stream()
                            .map(end -> new End(end.server(), now - end.at()))
                            .toList(),
                    clearedAt == Long.MIN_VALUE ? Optional.empty() : Optional.of(now - clearedAt),
                    held(now) ? heldUntil - now : 0);
        }
    }

    /** Returns whether nothing is known of any request, so that none needs to be looked up. */
    public boolean empty() {
        return entries.isEmpty();
    }

    /** Returns how many requests are known of. */
    public int size() {
        return entries.size();
    }

    /** Returns for how long a request is to be sent no more, in milliseconds; nothing if it may be sent. */
    public OptionalLong heldMillis(RequestFingerprint request, long now) {
        Entry entry = entries.get(request);
        return entry != null && entry.held(now) ? OptionalLong.of(entry.heldUntil - now) : OptionalLong.empty();
    }

    /**
     * Notes that a server has ended while a request was in progress there.
     *
     * @param life name of the server's life
     * @return whether the request is sent no more from now on, and was before
     */
    public boolean ended(RequestFingerprint request, String life, long now) {
        Entry entry = entry(request);
        boolean heldBefore = entry.held(now);
        entry.end(life.hashCode(), now);
        entry.tellings = TELLINGS;
        return entry.held(now) && !heldBefore;
    }

    /** Notes that a server has run a request to its end; returns whether it was suspected. */
    public boolean served(RequestFingerprint request, long now) {
        Entry entry = entries.get(request);
        if (entry == null || entry.ends.isEmpty()) {
            return false;
        }
        entry.clear(now);
        entry.tellings = TELLINGS;
        return true;
    }

    /** Takes a quarantine that outlasted the nodes that began it; returns whether it wasn't known. */
    public boolean hold(RequestFingerprint request, long now) {
        Entry entry = entry(request);
        boolean heldBefore = entry.held(now);
        entry.heldUntil = Math.max(entry.heldUntil, now + HOLD_MILLIS);
        return !heldBefore;
    }

    /** Takes what another node tells; returns whether the request is sent no more from now on, and was before. */
    public boolean hear(Suspicion told, long now) {
        Entry entry = entry(told.request());
        boolean heldBefore = entry.held(now);
        told.clearedMillis().ifPresent(age -> entry.clear(now - age));
        told.ends().forEach(end -> entry.end(end.server(), now - end.ageMillis()));
        if (told.heldMillis() > 0 && !entry.clearedSince(told, now)) {
            entry.heldUntil = Math.max(entry.heldUntil, now + Math.min(HOLD_MILLIS, told.heldMillis()));
        }
        return entry.held(now) && !heldBefore;
    }

    private Entry entry(RequestFingerprint request) {
        Entry known = entries.get(request);
        if (known != null) {
            return known;
        }
        if (entries.size() >= MOST_SUSPECTED) {
            entries.entrySet().stream()
                    .min(Comparator.<Map.Entry<RequestFingerprint, Entry>>comparingLong(
                                    entry -> entry.getValue().heldUntil)
                            .thenComparingInt(entry -> entry.getValue().ends.size())
                            .thenComparingLong(entry -> entry.getValue().newest()))
                    .ifPresent(weakest -> entries.remove(weakest.getKey()));
        }
        Entry fresh = new Entry();
        entries.put(request, fresh);
        return fresh;
    }

    /** Forgets what has lapsed. */
    public void trim(long now) {
        entries.values().removeIf(entry -> entry.over(now));
    }

    /** Returns what was seen here since it was told last, to be told now; what is suspected most goes first. */
    public List<Suspicion> news(long now) {
        List<Map.Entry<RequestFingerprint, Entry>> untold = new ArrayList<>();
        for (Map.Entry<RequestFingerprint, Entry> entry : entries.entrySet()) {
            if (entry.getValue().tellings > 0) {
                untold.add(entry);
            }
        }
        untold.sort(MOST_SUSPECTED_FIRST);
        List<Suspicion> news = new ArrayList<>();
        for (Map.Entry<RequestFingerprint, Entry> entry : untold.subList(0, Math.min(MOST_NEWS, untold.size()))) {
            entry.getValue().tellings--;
            news.add(entry.getValue().told(entry.getKey(), now));
        }
        return news;
    }

    /**
     * Returns a few of the requests that are held or were beside more than one end, each in its turn: whoever has started since,
     * or was cut off, has to learn of them.
     */
    public List<Suspicion> standing(long now) {
        if (turns.isEmpty()) {
            entries.forEach((request, entry) -> {
                if (entry.held(now) || entry.ends.size() > 1) {
                    turns.add(request);
                }
            });
        }
        List<Suspicion> told = new ArrayList<>();
        while (told.size() < MOST_STANDING && !turns.isEmpty()) {
            RequestFingerprint request = turns.poll();
            Entry entry = entries.get(request);
            if (entry != null) {
                told.add(entry.told(request, now));
            }
        }
        return told;
    }
}
