package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tanagerhinge.core.relay.RelayFixture.route;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerhinge.core.attempt.AttemptEnd;
import org.tanagerhinge.core.attempt.AttemptHistory;
import org.tanagerhinge.core.attempt.RetryBudget;

/** Which requests are sent again, and how many of them. */
class RetryTest {
    @ParameterizedTest
    @CsvSource({
        "SAFE,   false, BROKEN,       1, 1, true",
        "SAFE,   false, BROKEN,       2, 2, false",
        "UNSAFE, false, BROKEN,       1, 1, false",
        "UNSAFE, false, SERVER_ERROR, 1, 1, false",
        "UNSAFE, false, NOT_RUN,      0, 1, true",
        "UNSAFE, false, NOT_SENT,     0, 1, true",
        "UNSAFE, false, NOT_RUN,      0, 4, false",
        "STREAM, false, CUT,          1, 1, false",
        "STREAM, true,  CUT,          1, 1, true",
    })
    void aRequestIsRepeatedOnlyWhereItDoesNoHarm(
            RouteKind kind, boolean resumable, AttemptEnd end, int runs, int sends, boolean repeated) {
        AttemptHistory history = AttemptHistory.of(route(kind, resumable, 2).attemptTerms());
        for (int i = 0; i < sends; i++) {
            history.sent();
            history.ended(i >= sends - runs);
        }
        assertEquals(repeated, history.mayRepeat(end.mayHaveRun(), 1_000));
        assertFalse(history.mayRepeat(end.mayHaveRun(), 5), "no time left");
    }

    /** Load: every server fails and every request could be repeated; four nodes have one budget. */
    @Test
    void repeatsOfAllNodesTogetherStayWithinTheBudgetInEachWindow() {
        double ratio = 0.2;
        double slack = 50;
        List<RetryBudget> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            RetryBudget budget = RetryBudget.of(ratio, slack, 10_000);
            budget.nodes(4);
            nodes.add(budget);
        }
        List<Long> repeats = new ArrayList<>();
        List<Long> requests = new ArrayList<>();
        for (long now = 0; now < 40_000; now += 10) {
            RetryBudget budget = nodes.get((int) (now / 10 % 4));
            budget.request("s", now);
            requests.add(now);
            if (budget.take("s", now)) {
                repeats.add(now);
            }
        }
        assertTrue(repeats.size() > 100);
        for (long from = 0; from < 30_000; from += 500) {
            long begin = from;
            long in = repeats.stream()
                    .filter(t -> t >= begin && t < begin + 10_000)
                    .count();
            long of = requests.stream()
                    .filter(t -> t >= begin && t < begin + 10_000)
                    .count();
            assertTrue(in <= ratio * of + slack, in + " repeats of " + of);
        }
    }
}
