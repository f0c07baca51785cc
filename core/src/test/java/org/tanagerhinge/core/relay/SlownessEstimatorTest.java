package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the estimate of how much slower than usual servers get. */
class SlownessEstimatorTest {
    /** Guards against a mean in place of a high quantile: a stream is late by the slowest of its moments. */
    @ParameterizedTest
    @CsvSource({"15, 2.5, 2.5", "4, 2.5, 1", "100, 1, 1", "10, 5, 5", "50, 0.5, 1"})
    void followsTheSlowMomentsThatAreNotRare(int slowPercent, double slowness, double expected) {
        SlownessEstimator estimator = SlownessEstimator.create();
        for (int i = 0; i < 1_000; i++) {
            estimator.record(i % 100 < slowPercent ? slowness : 1, i * 4L);
        }
        assertEquals(expected, estimator.quantile(4_000), 0.06 * expected);
    }

    /** Guards against lanes that are sized by a few statements right after a start. */
    @Test
    void knowsNothingFromFewSamples() {
        SlownessEstimator estimator = SlownessEstimator.create();
        for (int i = 0; i < 19; i++) {
            estimator.record(3, i);
        }
        assertEquals(1, estimator.quantile(19));
    }

    /** Guards against capacity that is reserved long after the last slow moment. */
    @Test
    void forgetsSlowMomentsThatNoLongerCome() {
        SlownessEstimator estimator = SlownessEstimator.create();
        for (int i = 0; i < 1_000; i++) {
            estimator.record(i % 5 == 0 ? 3 : 1, i * 4L);
        }
        for (int i = 0; i < 1_000; i++) {
            estimator.record(1, 60_000 + i * 4L);
        }
        assertEquals(1, estimator.quantile(64_000));
    }

    /** Guards against lanes that stay uneven after the servers no longer state work times. */
    @Test
    void forgetsEverythingWithoutNewSamples() {
        SlownessEstimator estimator = SlownessEstimator.create();
        for (int i = 0; i < 1_000; i++) {
            estimator.record(3, i * 4L);
        }
        assertEquals(3, estimator.quantile(5_000), 0.2);
        assertEquals(1, estimator.quantile(120_000));
    }

    /** Guards against weights that decay once more for each late report of a peer. */
    @Test
    void lateSamplesDoNotReduceTheWeightOfOthers() {
        SlownessEstimator estimator = SlownessEstimator.create();
        for (int i = 0; i < 400; i++) {
            estimator.record(i < 100 ? 3 : 1, i % 2 == 0 ? i * 10L : i * 10L - 600);
        }
        assertEquals(3, estimator.quantile(4_000), 0.2);
    }
}
