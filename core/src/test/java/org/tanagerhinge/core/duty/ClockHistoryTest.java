package org.tanagerhinge.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the time by which a usage window has ended while wall clocks are stepped. */
class ClockHistoryTest {
    private final ClockHistory history = ClockHistory.create();
    private long steadyMillis;

    /** Guards against a window that is committed ahead of its end because wall clocks were stepped. */
    @Test
    void stepOfAFewSecondsDoesNotCount() {
        recordFor(30, 1_000_000);
        recordFor(9, 1_020_000);
        assertEquals(1_000_000 + steadyMillis, history.epochMillis(steadyMillis));
        recordFor(9, 980_000);
        assertEquals(1_000_000 + steadyMillis, history.epochMillis(steadyMillis));
    }

    /** Guards against windows that are never committed again after a suspension or a lasting step. */
    @Test
    void lastingStepIsFollowed() {
        recordFor(30, 1_000_000);
        recordFor(16, 1_020_000);
        assertEquals(1_020_000 + steadyMillis, history.epochMillis(steadyMillis));
    }

    /** Guards against a history that calls in quick succession fill with one step. */
    @Test
    void callsWithinASecondCountOnce() {
        recordFor(3, 1_000_000);
        for (int i = 0; i < 100; i++) {
            history.record(steadyMillis, 1_020_000 + steadyMillis);
        }
        assertEquals(1_000_000 + steadyMillis, history.epochMillis(steadyMillis));
    }

    private void recordFor(int seconds, long offsetMillis) {
        for (int i = 0; i < seconds; i++) {
            history.record(steadyMillis, offsetMillis + steadyMillis);
            steadyMillis += 1_000;
        }
    }
}
