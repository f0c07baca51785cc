package org.tanagerhinge.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Tracks the era of the metadata store, which rises by one each time the store is restored from an older copy. Within
 * an era, revisions and lease ids are unique; across eras they may be assigned again. Must be used by one thread.
 *
 * <p>An era that only peers state is believed until the store has answered with a smaller one for a while. From then on
 * neither that era nor a greater one is believed of peers until the store itself states one as great.
 */
public final class StoreEra {
    /** Era of a store that states none. */
    public static final long UNKNOWN = 0;

    /**
     * Longer than an answer of the earlier era may take (1.5 s, watches 2.2 s), so that late answers refute nothing.
     */
    static final long REFUTATION_MILLIS = 10_000;

    private static final long NOT_CONTRADICTED = Long.MIN_VALUE;

    private final LongSupplier steadyMillis;
    private final List<RestoreListener> listeners = new ArrayList<>();
    private long current = UNKNOWN;
    /** Latest era that the store itself has stated. */
    private long statedByStore = UNKNOWN;
    /** Time of the first smaller era that the store stated since peers stated the current one. */
    private long contradictedSinceMillis = NOT_CONTRADICTED;

    /** Smallest era of peers that the store has refuted. */
    private long refutedFrom = Long.MAX_VALUE;

    /** Receives the start of each era after the first one known. */
    @FunctionalInterface
    public interface RestoreListener {
        /**
         * Handles a restored store.
         *
         * @param era the new era
         * @param source from whom this node learned of it, for the log
         */
        void storeRestored(long era, String source);
    }

    private StoreEra(LongSupplier steadyMillis) {
        this.steadyMillis = steadyMillis;
    }

    /** Returns a tracker that knows of no era yet. */
    public static StoreEra create() {
        return create(() -> System.nanoTime() / 1_000_000);
    }

    /** Returns a tracker that knows of no era yet and uses a monotonic clock in milliseconds. */
    public static StoreEra create(LongSupplier steadyMillis) {
        return new StoreEra(steadyMillis);
    }

    /** Returns the latest era known, {@link #UNKNOWN} if there is none. */
    public long current() {
        return current;
    }

    /** Registers a listener. */
    public void onRestored(RestoreListener listener) {
        listeners.add(listener);
    }

    /**
     * Records an era that the store stated in an answer.
     *
     * @param source by whom it was stated, for the log
     * @return whether this is the latest era known; data of an earlier one is outdated
     */
    public boolean observe(long era, String source) {
        if (era > statedByStore) {
            statedByStore = era;
            refutedFrom = era >= refutedFrom ? Long.MAX_VALUE : refutedFrom;
        }
        if (era >= current) {
            contradictedSinceMillis = NOT_CONTRADICTED;
            advance(era, source);
            return true;
        }
        if (era < statedByStore || !refutesPeers()) {
            return false;
        }
        refutedFrom = Math.min(refutedFrom, current);
        current = era;
        contradictedSinceMillis = NOT_CONTRADICTED;
        return true;
    }

    /** Records an era that a peer stated. */
    public void observeFromPeer(long era, String peer) {
        if (era > current && era < refutedFrom) {
            contradictedSinceMillis = NOT_CONTRADICTED;
            advance(era, peer);
        }
    }

    private boolean refutesPeers() {
        long now = steadyMillis.getAsLong();
        if (contradictedSinceMillis == NOT_CONTRADICTED) {
            contradictedSinceMillis = now;
        }
        return now - contradictedSinceMillis >= REFUTATION_MILLIS;
    }

    private void advance(long era, String source) {
        if (era == current) {
            return;
        }
        boolean restored = current != UNKNOWN;
        current = era;
        if (restored) {
            for (RestoreListener listener : listeners) {
                listener.storeRestored(era, source);
            }
        }
    }
}
