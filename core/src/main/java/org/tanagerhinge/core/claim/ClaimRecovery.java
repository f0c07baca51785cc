package org.tanagerhinge.core.claim;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.store.StoreEra;

/**
 * Keeps the latest claims that a router was granted, follows or was told of by agents, so that it can write them again
 * after the store was restored from an older copy, and decides when claims may be settled again. May be used by several
 * threads.
 */
public final class ClaimRecovery {
    /** A restore brings back a copy that is at most 60 s old; the rest is time for a router to learn of the restore. */
    public static final Duration RETENTION = Duration.ofSeconds(90);
    /** Limits memory to about 2 MB. */
    public static final int MAX_RETAINED = 4_096;
    /** Time for other routers to learn of a restore and write their claims; longer than a pause of 6 s and a poll. */
    static final Duration HOLD_TIME = Duration.ofSeconds(10);
    /** Longest interval between two answers in which the store counts as available to other routers as well. */
    static final Duration MAX_ANSWER_INTERVAL = Duration.ofMillis(1_500);

    private record Retained(ClaimEntry entry, Instant at, long writtenInEra) {}

    private final InstantSource clock;
    private final Map<KeyDigest, Retained> retained = new LinkedHashMap<>();
    private long era = StoreEra.UNKNOWN;
    private boolean settling = true;
    private Duration held = Duration.ZERO;
    private Instant lastAnswerAt = Instant.MIN;

    private ClaimRecovery(InstantSource clock) {
        this.clock = clock;
    }

    /**
     * Returns the memory of a router that has just started.
     *
     * @param clock a monotonic clock
     */
    public static ClaimRecovery create(InstantSource clock) {
        return new ClaimRecovery(clock);
    }

    /**
     * Records the era that the store stated; a router stops settling claims when it learns of a newer one, including
     * the first one, which may have begun just before the router started.
     */
    public synchronized void observe(long stated) {
        if (stated > era) {
            era = stated;
            settling = false;
            held = Duration.ZERO;
            lastAnswerAt = Instant.MIN;
        }
    }

    /** Returns the latest era known. */
    public synchronized long era() {
        return era;
    }

    /** Returns whether claims may be granted or followed. */
    public synchronized boolean settling() {
        return settling;
    }

    /**
     * Keeps a claim that this router was granted, follows or released.
     *
     * @param inEra era of the store in which the claim was read or written
     * @return whether the decision stands; not if the store has been restored since
     */
    public synchronized boolean retain(ClaimEntry entry, long inEra) {
        if (!settling || inEra != era) {
            return false;
        }
        put(entry, inEra);
        evict();
        return true;
    }

    /** Keeps a claim that an agent reported; it is pending if it was granted in an earlier era than the current one. */
    public synchronized void keep(StoredClaim claim) {
        Retained before = retained.get(claim.entry().digest());
        boolean known = before != null
                && before.entry.generation() == claim.entry().generation()
                && before.writtenInEra >= claim.era();
        if (!known) {
            put(claim.entry(), claim.era());
            evict();
        }
    }

    /** Returns the pending claim of a key, if there is one. */
    public synchronized Optional<ClaimEntry> pending(KeyDigest digest) {
        return Optional.ofNullable(retained.get(digest))
                .filter(each -> each.writtenInEra < era)
                .map(Retained::entry);
    }

    /** Returns the claims that have not been written in the current era, the latest first. */
    public synchronized List<ClaimEntry> pending() {
        return retained.values().stream()
                .filter(each -> each.writtenInEra < era)
                .map(Retained::entry)
                .toList()
                .reversed();
    }

    /**
     * Records the entry that the store has for a pending claim after it was written again, which is then pending no
     * more.
     */
    public synchronized void restored(ClaimEntry entry, long inEra) {
        Retained before = retained.remove(entry.digest());
        ClaimEntry newest = before == null || before.entry.generation() <= entry.generation() ? entry : before.entry;
        retained.put(entry.digest(), new Retained(newest, clock.instant(), inEra));
    }

    /**
     * Records that the store answered. Claims may be settled again when those of this router are written and the store
     * has been available for the hold time, or another router has waited that long.
     *
     * @param settledEra newest era for which a router has waited, according to the store
     * @return whether claims may be settled now and could not before
     */
    public synchronized boolean storeAnswered(long settledEra) {
        Instant now = clock.instant();
        if (!lastAnswerAt.equals(Instant.MIN)) {
            Duration elapsed = Duration.between(lastAnswerAt, now);
            held = held.plus(elapsed.compareTo(MAX_ANSWER_INTERVAL) < 0 ? elapsed : MAX_ANSWER_INTERVAL);
        }
        lastAnswerAt = now;
        boolean waited = settledEra >= era || held.compareTo(HOLD_TIME) >= 0;
        if (settling || !waited || !pending().isEmpty()) {
            return false;
        }
        settling = true;
        return true;
    }

    private void put(ClaimEntry entry, long inEra) {
        Retained before = retained.get(entry.digest());
        if (before == null || before.entry.generation() <= entry.generation()) {
            retained.remove(entry.digest());
            retained.put(entry.digest(), new Retained(entry, clock.instant(), inEra));
        }
    }

    private void evict() {
        Instant oldest = clock.instant().minus(RETENTION);
        Iterator<Retained> oldestFirst = retained.values().iterator();
        while (oldestFirst.hasNext()) {
            if (!oldestFirst.next().at.isBefore(oldest) && retained.size() <= MAX_RETAINED) {
                return;
            }
            oldestFirst.remove();
        }
    }
}
