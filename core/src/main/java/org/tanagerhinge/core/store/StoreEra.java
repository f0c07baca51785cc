package org.tanagerhinge.core.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the era of the metadata store, which rises by one each time the store is restored from an older copy. Within
 * an era, revisions and lease ids are unique; across eras they may be assigned again. Must be used by one thread.
 */
public final class StoreEra {
    /** Era of a store that states none. */
    public static final long UNKNOWN = 0;

    private final List<RestoreListener> listeners = new ArrayList<>();
    private long current = UNKNOWN;

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

    private StoreEra() {}

    /** Returns a tracker that knows of no era yet. */
    public static StoreEra create() {
        return new StoreEra();
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
     * Records an era that was seen.
     *
     * @param source by whom it was stated, for the log
     * @return whether this is the latest era known; data of an earlier one is outdated
     */
    public boolean observe(long era, String source) {
        if (era <= current) {
            return era == current;
        }
        boolean restored = current != UNKNOWN;
        current = era;
        if (restored) {
            for (RestoreListener listener : listeners) {
                listener.storeRestored(era, source);
            }
        }
        return true;
    }
}
