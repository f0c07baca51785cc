package org.tanagerhinge.core.relay;

/** How urgent a request is at a backend server, by its rank there and its step within the rank. */
public final class Urgency {
    /** Levels that backend servers tell apart, 0 first. */
    private static final int LEVELS = 10;

    private Urgency() {}

    /**
     * Returns the level, 0 for the most urgent. No request of a rank goes behind one of a less urgent rank; where there
     * are more ranks than levels, neighbours share one.
     *
     * @param rank among the ranks that requests for this service may have, 0 is the most urgent
     * @param ranks how many such ranks there are
     * @param step within the rank, from 0 to {@link ReadingOrder#STEPS} - 1
     */
    public static int level(int rank, int ranks, int step) {
        if (ranks >= LEVELS) {
            return rank * LEVELS / ranks;
        }
        int ofRank = LEVELS / Math.max(1, ranks);
        return rank * ofRank + step * Math.min(ofRank, ReadingOrder.STEPS) / ReadingOrder.STEPS;
    }
}
