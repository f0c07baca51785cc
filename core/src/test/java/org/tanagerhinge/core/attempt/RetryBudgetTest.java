package org.tanagerhinge.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetTest {
    private static final String SERVICE = "service";
    private static final double RATIO = 0.2;
    private static final double SLACK = 40;
    private static final long WINDOW_MILLIS = 10_000;

    private static RetryBudget startedAt(long millis, int nodes) {
        return RetryBudget.of(RATIO, SLACK, WINDOW_MILLIS, millis, now -> nodes);
    }

    private static int takeAll(RetryBudget budget, long nowMillis) {
        int taken = 0;
        while (budget.tryTake(SERVICE, nowMillis)) {
            taken++;
        }
        return taken;
    }

    private static void requests(RetryBudget budget, int count, long fromMillis, long toMillis) {
        for (int i = 0; i < count; i++) {
            budget.recordRequest(SERVICE, fromMillis + i * (toMillis - fromMillis) / count);
        }
    }

    /** Guards against a budget that is spent once more by each life of a process. */
    @ParameterizedTest
    @CsvSource({"1, 1, 400", "4, 1, 400", "1, 5, 400", "4, 10, 400", "26, 3, 1200", "410, 2, 93000"})
    void processesThatEndAndStartAgainSpendOneBudgetTogether(int nodes, int restarts, int requestCount) {
        int taken = 0;
        for (int node = 0; node < nodes; node++) {
            for (int life = 0; life <= restarts; life++) {
                long fromMillis = WINDOW_MILLIS * life / (restarts + 1);
                long toMillis = WINDOW_MILLIS * (life + 1) / (restarts + 1);
                RetryBudget budget = startedAt(fromMillis, nodes);
                for (int i = 0; i < requestCount / nodes / (restarts + 1); i++) {
                    requests(budget, 1, fromMillis, fromMillis);
                    taken += takeAll(budget, fromMillis);
                }
                taken += takeAll(budget, toMillis - 1);
            }
        }
        int spent = taken;
        assertTrue(spent <= RATIO * requestCount + SLACK, () -> spent + " retries");
    }

    @Test
    void nodeThatHasJustStartedEarnsRetriesByRequestsAndTime() {
        RetryBudget budget = startedAt(0, 1);
        assertFalse(budget.tryTake(SERVICE, 0));
        requests(budget, 50, 0, 1_000);
        assertTrue(budget.tryTake(SERVICE, 1_000));
        RetryBudget idle = startedAt(0, 1);
        assertTrue(takeAll(idle, WINDOW_MILLIS) > SLACK / 3);
    }

    @Test
    void requestsOfTheLastSecondsCanBeSpentAtOnce() {
        RetryBudget budget = startedAt(0, 4);
        requests(budget, 3_000, 0, 30_000);
        assertTrue(takeAll(budget, 30_000) > RATIO * 1_000 / 5);
    }

    @Test
    void lastingFailuresSpendMostOfTheBudget() {
        RetryBudget budget = startedAt(0, 1);
        int taken = 0;
        for (long millis = 0; millis < 60_000; millis += 10) {
            budget.recordRequest(SERVICE, millis);
            taken += millis >= 20_000 && budget.tryTake(SERVICE, millis) ? 1 : 0;
        }
        int spent = taken;
        assertTrue(spent > 0.8 * 4 * (RATIO * 1_000 + SLACK), () -> spent + " retries in four windows");
    }

    /** Guards against requests that are counted twice when callers move from one node to another. */
    @Test
    void nodesWhoseCallersMoveSpendOneBudgetTogether() {
        RetryBudget before = startedAt(-30_000, 2);
        RetryBudget after = startedAt(-30_000, 2);
        requests(before, 1_000, 0, 10_000);
        int taken = takeAll(before, 10_000);
        requests(after, 1_000, 10_000, 20_000);
        int spent = taken + takeAll(after, 19_990);
        assertTrue(spent <= RATIO * 1_000 + SLACK, () -> spent + " retries");
    }

    @Test
    void slackIsNotSpentWhileTheNumberOfNodesIsUnknown() {
        RetryBudget budget = startedAt(-60_000, 0);
        requests(budget, 4, 0, 100);
        assertEquals(0, takeAll(budget, 100));
    }

    /** Guards against a part of the slack below one retry that is never spent. */
    @Test
    void partOfTheSlackBelowOneRetryIsSpentWithTheRatio() {
        RetryBudget manyNodes = startedAt(-60_000, 400);
        requests(manyNodes, 400, 0, 20_000);
        assertTrue(takeAll(manyNodes, 20_000) > 5);
    }
}
