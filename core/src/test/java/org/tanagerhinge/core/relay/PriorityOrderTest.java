package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tanagerhinge.core.relay.RelayFixture.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests yield to others, and in which order engines prefill prompts. */
class PriorityOrderTest {
    /**
     * Guards against starvation of urgent requests in a shortage of engines, when large, less urgent ones fill the
     * slots and queues.
     */
    @Test
    void lessUrgentRequestsYieldWhereMoreUrgentOnesAreOverdue() {
        RankGate gate = RankGate.create();
        RankGate.PendingRequest first = RankGate.PendingRequest.of("e", 0, 300);
        RankGate.PendingRequest second = RankGate.PendingRequest.of("e", 0, 400);
        gate.recordSent(first);
        gate.recordSent(second);
        assertFalse(gate.mustYield(1, "e", 250), "no request is overdue");
        assertFalse(gate.mustYield(1, "e", 350), "a single overdue request may be a lost response");
        assertTrue(gate.mustYield(1, "e", 500));
        assertFalse(gate.mustYield(0, "e", 500), "the most urgent rank never yields");
        assertFalse(gate.mustYield(1, "other", 500));
        gate.recordSettled(second);
        assertFalse(gate.mustYield(1, "e", 600), "only one request is still overdue");
    }
    /**
     * Guards against prefill in order of arrival, which makes a whole burst late since small prompts wait for large
     * ones.
     */
    @Test
    void promptsWithLittlePrefillForTheirSizeGoFirst() {
        PrefillOrder order = PrefillOrder.create();
        Route route = route(RouteKind.STREAM, true, 2);
        Prompt meanPrompt = Prompt.of(9_000, 50, List.of());
        assertEquals(
                PrefillOrder.STEPS - 1,
                order.step(route, meanPrompt, 9_000, 45),
                "nothing cached, takes two thirds of the target");
        assertEquals(0, order.step(route, meanPrompt, 300, 45), "mostly cached");
        int middleStep = order.step(route, meanPrompt, 2_000, 45);
        assertTrue(middleStep > 0 && middleStep < PrefillOrder.STEPS - 1);
        Prompt smallPrompt = Prompt.of(2_000, 50, List.of());
        assertTrue(order.step(route, smallPrompt, 2_000, 45) > middleStep, "same prefill, smaller request");
        for (int cachedTokens = 0, previousStep = PrefillOrder.STEPS; cachedTokens < 9_000; cachedTokens += 500) {
            int step = order.step(route, meanPrompt, 9_000 - cachedTokens, 45);
            assertTrue(step <= previousStep, "less prefill never goes later");
            previousStep = step;
        }
    }

    private static Route routeWithPriority(int priority) {
        return new Route(
                "r" + priority,
                "h",
                "/" + priority + "/",
                RouteKind.STREAM,
                false,
                List.of(new WeightedService("model", 1)),
                1,
                5000,
                300,
                120,
                priority,
                false,
                true);
    }

    private static RelayConfig config(int routeRanks, int... workspaceRanks) {
        List<Route> routes = new ArrayList<>();
        for (int priority = 0; priority < routeRanks; priority++) {
            routes.add(routeWithPriority(priority));
        }
        Map<String, WorkspaceConfig> workspaces = new HashMap<>();
        for (int rank : workspaceRanks) {
            workspaces.put("key" + rank, new WorkspaceConfig("w" + rank, OptionalInt.of(rank)));
        }
        return RelayConfig.of(1, routes, List.of(), workspaces, CallerLimits.DEFAULT);
    }

    /**
     * Guards against preemption of requests by ones of a less urgent route: the route rank must go before the
     * workspace rank, and the levels of a route rank must not depend on the workspace ranks in force, which change
     * while requests are in flight.
     */
    @ParameterizedTest
    @CsvSource({"2", "3", "5", "10"})
    void routeRanksNeverShareLevelsWhateverTheWorkspaceRanks(int routeRanks) {
        List<RelayConfig> configs = List.of(
                config(routeRanks),
                config(routeRanks, 1),
                config(routeRanks, 0, 1),
                config(routeRanks, 0, 1, 2, 5, 9, 12));
        for (int routeRank = 0; routeRank + 1 < routeRanks; routeRank++) {
            int maxLevel = 0;
            int minNextLevel = 9;
            for (RelayConfig config : configs) {
                for (int rank : new int[] {0, 1, 2, 5, 9, 12}) {
                    Optional<WorkspaceConfig> workspace = config.workspace("key" + rank);
                    for (int step = 0; step < PrefillOrder.STEPS; step++) {
                        maxLevel = Math.max(
                                maxLevel, config.priorityLevel(workspace, routeWithPriority(routeRank), "model", step));
                        minNextLevel = Math.min(
                                minNextLevel,
                                config.priorityLevel(workspace, routeWithPriority(routeRank + 1), "model", step));
                    }
                }
            }
            assertTrue(
                    maxLevel < minNextLevel,
                    "route rank " + routeRank + " reaches level " + maxLevel + ", the next one starts at "
                            + minNextLevel);
        }
    }

    /**
     * Guards against a preferred workspace that doesn't yield to overdue requests of more urgent routes; the server
     * would preempt it.
     */
    @Test
    void ranksOrderByRouteBeforeWorkspace() {
        RelayConfig config = config(3, 0, 1);
        int previous = -1;
        for (int routeRank = 0; routeRank < 3; routeRank++) {
            for (int workspaceRank = 0; workspaceRank < 2; workspaceRank++) {
                int combinedRank = config.rank(config.workspace("key" + workspaceRank), routeWithPriority(routeRank));
                assertEquals(
                        previous + 1,
                        combinedRank,
                        "route rank " + routeRank + " of a workspace of rank " + workspaceRank);
                previous = combinedRank;
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "1, 1", "2, 1", "3, 1", "5, 1", "6, 1", "10, 1", "18, 1", "1, 2", "2, 2", "3, 2", "3, 6", "6, 3", "1, 24"
    })
    void stepsNeverPassALessUrgentRank(int routeRanks, int workspaceRanks) {
        for (int routeRank = 0; routeRank < routeRanks; routeRank++) {
            for (int workspaceRank = 0; workspaceRank < workspaceRanks; workspaceRank++) {
                String description = "route rank " + routeRank + " of " + routeRanks + ", workspace rank "
                        + workspaceRank + " of " + workspaceRanks;
                int lastLevel = PriorityLevels.level(
                        routeRank, routeRanks, workspaceRank, workspaceRanks, PrefillOrder.STEPS - 1);
                if (workspaceRank + 1 < workspaceRanks) {
                    int nextLevel = PriorityLevels.level(routeRank, routeRanks, workspaceRank + 1, workspaceRanks, 0);
                    assertTrue(
                            routeRanks * workspaceRanks <= 10 ? lastLevel < nextLevel : lastLevel <= nextLevel,
                            description);
                }
                if (routeRank + 1 < routeRanks) {
                    int nextLevel = PriorityLevels.level(routeRank + 1, routeRanks, 0, workspaceRanks, 0);
                    assertTrue(routeRanks <= 10 ? lastLevel < nextLevel : lastLevel <= nextLevel, description);
                }
            }
        }
        assertEquals(0, PriorityLevels.level(0, routeRanks, 0, workspaceRanks, 0));
        assertTrue(PriorityLevels.level(
                        routeRanks - 1, routeRanks, workspaceRanks - 1, workspaceRanks, PrefillOrder.STEPS - 1)
                <= 9);
    }
}
