package org.tanagerhinge.core.relay;

/**
 * Computes the priority level of a request at a backend server from the ranks of its route and workspace and its
 * step.
 */
final class PriorityLevels {
    /** Priority levels that backend servers distinguish; 0 is the most urgent. */
    private static final int LEVEL_COUNT = 10;

    private PriorityLevels() {}

    /**
     * Returns the priority level, 0 for the most urgent.
     *
     * <p>A request never goes behind one of a less urgent route rank; with more route ranks than levels, neighbouring
     * ranks share a level. The levels of a route rank don't depend on the workspace ranks in force, since servers
     * compare requests in flight with those sent after a change of workspaces. Within a route rank, a request never
     * goes behind one of a less urgent workspace, and steps share the levels that remain.
     *
     * @param routeRank rank among the routes of the service, 0 is the most urgent
     * @param routeRankCount number of such ranks
     * @param workspaceRank rank among the workspaces, 0 is the most urgent
     * @param workspaceRankCount number of such ranks
     * @param step step within both ranks, from 0 to {@link PrefillOrder#STEPS} - 1
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
