package org.tanagerhinge.bench.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Random fleets whose gateways end, start, join, leave, are cut off and freeze while servers fail. Guards against retries
 * beyond the shared budget.
 */
class RetrySoakTest {
    private static final int SEEDS = 100;

    @Test
    void retriesOfAllNodesStayWithinTheBudgetInEveryWindow() {
        List<RetrySoak.Result> failed = RetrySoak.runAll(1, SEEDS).stream()
                .filter(result -> !result.passed())
                .toList();
        assertTrue(failed.isEmpty(), () -> failed.size() + " of " + SEEDS + " seeds, the first: " + failed.getFirst());
    }
}
