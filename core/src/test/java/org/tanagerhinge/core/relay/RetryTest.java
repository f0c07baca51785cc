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
import org.tanagerhinge.core.attempt.AttemptFailure;
import org.tanagerhinge.core.attempt.AttemptHistory;
import org.tanagerhinge.core.attempt.RetryBudget;

/** Tests which requests are retried, and how many of them. */
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
    void retriesOnlyWhenARepeatedExecutionIsSafe(
            RouteKind kind, boolean resumable, AttemptFailure end, int executions, int sends, boolean retried) {
        AttemptHistory history = AttemptHistory.of(route(kind, resumable, 2).attemptLimits());
        for (int i = 0; i < sends; i++) {
            history.recordSend();
            history.recordEnd(i >= sends - executions);
        }
        assertEquals(retried, history.mayRetry(end.mayHaveRun(), 1_000));
        assertFalse(history.mayRetry(end.mayHaveRun(), 5), "no time left");
    }

    /** Guards against requests that are refused, without having been sent, since three servers can't be reached. */
    @ParameterizedTest
    @CsvSource({"3, true", "7, true", "8, false"})
    void unreachableServersDontCountAsSends(int unreachable, boolean retried) {
        AttemptHistory history =
                AttemptHistory.of(route(RouteKind.UNSAFE, false, 1).attemptLimits());
        for (int i = 0; i < unreachable; i++) {
            history.recordSend();
            history.recordUnreachable();
        }
        assertEquals(0, history.sendCount());
        assertEquals(retried, history.mayRetry(false, 1_000));
    }

    /** Guards against retries beyond the shared budget when every request fails and four nodes retry independently. */
    @Test
    void retriesOfAllNodesStayWithinTheBudgetInEveryWindow() {
        double ratio = 0.2;
        double slack = 50;
        List<RetryBudget> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(RetryBudget.of(ratio, slack, 10_000, 0, now -> 4));
        }
        List<Long> retryTimes = new ArrayList<>();
        List<Long> requestTimes = new ArrayList<>();
        for (long now = 0; now < 40_000; now += 10) {
            RetryBudget budget = nodes.get((int) (now / 10 % 4));
            budget.recordRequest("s", now);
            requestTimes.add(now);
            if (budget.tryTake("s", now)) {
                retryTimes.add(now);
            }
        }
        assertTrue(retryTimes.size() > 100);
        for (long from = 0; from < 30_000; from += 500) {
            long windowStart = from;
            long retryCount = retryTimes.stream()
                    .filter(t -> t >= windowStart && t < windowStart + 10_000)
                    .count();
            long requestCount = requestTimes.stream()
                    .filter(t -> t >= windowStart && t < windowStart + 10_000)
                    .count();
            assertTrue(retryCount <= ratio * requestCount + slack, retryCount + " retries of " + requestCount);
        }
    }
}
