package org.tanagerhinge.core.store;

/**
 * Identifies a point in the history of the metadata store: a revision is unique within an era only.
 *
 * @param era era of the store, {@link StoreEra#UNKNOWN} if it states none
 * @param revision revision of the store in that era
 */
public record StorePosition(long era, long revision) {
    private static final int REVISION_BITS = 40;

    /** The point before any write. */
    public static final StorePosition NONE = new StorePosition(StoreEra.UNKNOWN, 0);

    /** Returns the point at a revision of an era. */
    public static StorePosition of(long era, long revision) {
        return new StorePosition(era, revision);
    }

    /** Returns whether this point comes before another one. */
    public boolean isBefore(StorePosition other) {
        return era < other.era || (era == other.era && revision < other.revision);
    }

    /** Returns the point that a fencing token stands for. */
    public static StorePosition ofFencingToken(long token) {
        return new StorePosition(token >>> REVISION_BITS, token & ((1L << REVISION_BITS) - 1));
    }

    /**
     * Returns a fencing token that rises with the era and, within an era, with the revision. Without an era it is the
     * revision.
     */
    public long toFencingToken() {
        return era << REVISION_BITS | revision;
    }

    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
