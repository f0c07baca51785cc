package org.tanagerhinge.core.duty;

import java.util.Optional;
import java.util.TreeMap;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.core.store.StorePosition;

/**
 * Remembers which usage windows are committed, for as long as the process runs. The store may be restored from an older
 * copy and then lacks commits whose counts were reported.
 *
 * <p>A new holder that finds the store restored does not know all commits of its predecessor. The windows that ended
 * before are settled once the predecessor announces the new era, from which on it commits nothing in earlier ones.
 */
final class CommittedWindows {
    private final Holder self;
    private final TreeMap<Long, UsageCounts> countsByWindow = new TreeMap<>();
    private long through = Long.MIN_VALUE;

    private Optional<Holder> latestHolder = Optional.empty();
    /** Latest era of the store that the latest holder has announced. */
    private long latestHolderEra = StoreEra.UNKNOWN;
    /** Era in which the latest holder first acquired the duty since another one had held it. */
    private long latestHolderSinceEra = StoreEra.UNKNOWN;

    /** The holder that may have committed windows up to {@link #unsettledThrough}. */
    private Optional<Holder> predecessor = Optional.empty();

    private long unsettledThrough = Long.MIN_VALUE;
    /** Era of the tally that this node found when it acquired the duty. */
    private long acquiredTallyEra = StoreEra.UNKNOWN;

    /** Identifies the process that holds or held the duty. */
    private record Holder(String node, long incarnation) {}

    private CommittedWindows(Holder self) {
        this.self = self;
    }

    /** Returns the memory of a process that has just started. */
    static CommittedWindows of(String node, long incarnation) {
        return new CommittedWindows(new Holder(node, incarnation));
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

    /** Takes in what another node announces, while the store is in an era. */
    void learnFrom(DutyPeer peer, long era) {
        DutyAnnouncement announcement = peer.announcement();
        recordThrough(announcement.committedThrough());
        Optional<Holder> holder = Optional.of(new Holder(peer.name(), peer.incarnation()));
        if (peer.alive() && announcement.fencingToken() > 0) {
            recordHolder(
                    holder,
                    StorePosition.ofFencingToken(announcement.fencingToken()).era());
        }
        if (latestHolder.equals(holder)) {
            latestHolderEra = announcement.storeEra();
        }
        if (predecessor.equals(holder) && announcement.storeEra() >= era) {
            unsettledThrough = Long.MIN_VALUE;
        }
    }

    /**
     * Records that this node has acquired the duty.
     *
     * @param tally what the predecessor has saved
     * @param era current era of the store
     * @param endedThrough newest window that has ended
     */
    void dutyAcquired(UsageTally tally, long era, long endedThrough) {
        boolean storeRestored = tally.era() != StoreEra.UNKNOWN && tally.era() < era;
        boolean heard = latestHolder.equals(Optional.of(self)) || (latestHolder.isPresent() && latestHolderEra >= era);
        // A holder that acquired the duty in a later era than that of the tally may not know all commits itself.
        boolean settled = heard && latestHolderSinceEra <= tally.era();
        unsettledThrough = storeRestored && !settled ? endedThrough : Long.MIN_VALUE;
        acquiredTallyEra = tally.era();
        predecessor = latestHolderSinceEra <= tally.era() ? latestHolder : Optional.empty();
        recordHolder(Optional.of(self), era);
        recordThrough(tally.committedThrough());
    }

    private void recordHolder(Optional<Holder> holder, long claimedInEra) {
        if (!latestHolder.equals(holder)) {
            latestHolder = holder;
            latestHolderSinceEra = claimedInEra;
        }
    }

    /** Returns whether this holder knows if a window was committed before the store was restored. */
    boolean isSettled(long window) {
        return window > unsettledThrough;
    }

    /**
     * Returns the era of the tally to save: the current one once all windows are settled or skipped.
     *
     * @param committedThrough newest window that this holder has committed or skipped
     * @param era current era of the store
     */
    long tallyEra(long committedThrough, long era) {
        return committedThrough >= unsettledThrough ? era : acquiredTallyEra;
    }
}
