package org.tanagerhinge.core.agent;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The measured concurrency limit against engines whose rate curve is known. */
class ConcurrencyLimitTest {
    private static final int WINDOWS = 400;

    /** Lets a limit work against an engine whose step takes base + each * n, with at most so many in the batch. */
    private static double settled(ConcurrencyLimit limit, double baseMillis, double eachMillis, int slots) {
        Instant now = TestRuns.NOW;
        double sum = 0;
        for (int window = 0; window < WINDOWS; window++) {
            int batch = Math.min(limit.limit(), slots);
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
    void theLimitSettlesAboutTheKnee(double base, double each, int slots, double least, double most) {
        ConcurrencyLimit limit = ConcurrencyLimit.of(new AgentOptions.ConcurrencyPolicy.Adaptive(8, 512));
        double settled = settled(limit, base, each, slots);
        assertTrue(settled >= least && settled <= most, "settled at " + settled);
    }

    @Test
    void theLimitKeepsTheTimeBetweenTokensBelowItsBound() {
        ConcurrencyLimit limit = ConcurrencyLimit.of(new AgentOptions.ConcurrencyPolicy.Adaptive(8, 512));
        limit.maxMeanGap(Duration.ofMillis(40));
        double settled = settled(limit, 20, 1, 1000);
        assertTrue(settled <= 22, "settled at " + settled);
    }
}
