package org.tanagerhinge.core.agent;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the adaptive concurrency limit against simulated engines with a known throughput curve. */
class ConcurrencyLimitTest {
    private static final int WINDOWS = 400;

    /**
     * Returns the mean limit in the second half of the windows, against an engine whose step takes base + each * batch
     * size.
     */
    private static double meanSettledLimit(
            ConcurrencyLimit limit, double baseMillis, double eachMillis, int engineSlots) {
        Instant now = TestRuns.NOW;
        double sum = 0;
        for (int window = 0; window < WINDOWS; window++) {
            int batch = Math.min(limit.limit(), engineSlots);
            double stepMillis = baseMillis + eachMillis * batch;
            limit.recordOutput((long) (batch * 500 / stepMillis));
            for (int i = 0; i < 20; i++) {
                limit.recordGap(Duration.ofNanos((long) (stepMillis * 1e6)));
            }
            now = now.plusMillis(500);
            limit.tick(now, true);
            if (window >= WINDOWS / 2) {
                sum += limit.limit();
            }
        }
        return sum / (WINDOWS / 2);
    }

    @ParameterizedTest
    @CsvSource({"12, 0.6, 1000, 20, 90", "12, 0.6, 16, 12, 30", "20, 2, 1000, 10, 45", "5, 0, 8, 6, 16"})
    void limitSettlesNearKneeOfThroughputCurve(
            double baseMillis, double eachMillis, int engineSlots, double minLimit, double maxLimit) {
        ConcurrencyLimit limit = ConcurrencyLimit.of(new AgentOptions.ConcurrencyPolicy.Adaptive(8, 512));
        double settled = meanSettledLimit(limit, baseMillis, eachMillis, engineSlots);
        assertTrue(settled >= minLimit && settled <= maxLimit, "settled at " + settled);
    }

    @Test
    void limitKeepsMeanGapBelowMaximum() {
        ConcurrencyLimit limit = ConcurrencyLimit.of(new AgentOptions.ConcurrencyPolicy.Adaptive(8, 512));
        limit.maxMeanGap(Duration.ofMillis(40));
        double settled = meanSettledLimit(limit, 20, 1, 1000);
        assertTrue(settled <= 22, "settled at " + settled);
    }
}
