package org.tanagerhinge.core.relay;

/** How urgent a request is at a backend server, by the rank of its kind, that of its workspace, and its step within both. */
final class PriorityLevels {
    /** Levels that backend servers tell apart, 0 first. */
    private static final int LEVEL_COUNT = 10;

    private PriorityLevels() {}

    /**
     * Returns the level, 0 for the most urgent. No request goes behind one of a less urgent kind; where there are more kinds
     * than levels, neighbours share one. Kinds have levels of their own, whichever ranks of workspaces are in force: servers
     * compare requests in progress with those sent after a change of these. Within a kind no request goes behind one of a
     * less urgent workspace, and steps share what levels there are.
     *
     * @param kind rank among the kinds of requests that a service may get, 0 is the most urgent
     * @param kinds how many such ranks there are
     * @param workspace rank among those of workspaces, 0 is the most urgent
     * @param workspaces how many such ranks there are
     * @param step within both, from 0 to {@link PrefillOrder#STEPS} - 1
     */
    static int level(int routeRank, int routeRankCount, int workspaceRank, int workspaceRankCount, int step) {
        if (routeRankCount >= LEVEL_COUNT) {
            return routeRank * LEVEL_COUNT / routeRankCount;
        }
        int levelsPerRouteRank = LEVEL_COUNT / Math.max(1, routeRankCount);
        int firstLevel = workspaceRank * levelsPerRouteRank / workspaceRankCount;
        int levelCount = (workspaceRank + 1) * levelsPerRouteRank / workspaceRankCount - firstLevel;
        return routeRank * levelsPerRouteRank
                + firstLevel
                + step * Math.min(levelCount, PrefillOrder.STEPS) / PrefillOrder.STEPS;
    }
}
