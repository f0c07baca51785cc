package org.tanagerhinge.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the median over the clocks of a node and its peers. */
class MedianClockTest {
    private static final long TRUE_TIME_MILLIS = 1_700_000_000_000L;

    private static final class FakeClock implements NodeClock {
        private long steadyMillis = 5_000;
        private long wallClockMillis = TRUE_TIME_MILLIS;

        @Override
        public long steadyMillis() {
            return steadyMillis;
        }

        @Override
        public long wallClockMillis() {
            return wallClockMillis;
        }
    }

    /** Guards against counts that move into another window when a minority of clocks is stepped. */
    @ParameterizedTest
    @CsvSource({"2000, 0", "-2000, 0", "0, 2000", "2000, 2000", "-2000, 2000"})
    void ignoresSteppedClocksOfMinority(long ownStepMillis, long peerStepMillis) {
        FakeClock clock = new FakeClock();
        clock.wallClockMillis = TRUE_TIME_MILLIS + ownStepMillis;
        MedianClock medianClock = MedianClock.of(clock);
        medianClock.recordPeerTime("a", TRUE_TIME_MILLIS + peerStepMillis);
        medianClock.recordPeerTime("b", TRUE_TIME_MILLIS);
        medianClock.recordPeerTime("c", TRUE_TIME_MILLIS);
        medianClock.recordPeerTime("d", TRUE_TIME_MILLIS);
        assertEquals(TRUE_TIME_MILLIS, medianClock.epochMillis());
        clock.steadyMillis += 700;
        clock.wallClockMillis += 700;
        assertEquals(TRUE_TIME_MILLIS + 700, medianClock.epochMillis());
    }

    @Test
    void followsOwnClockWithoutPeers() {
        FakeClock clock = new FakeClock();
        MedianClock medianClock = MedianClock.of(clock);
        medianClock.recordPeerTime("a", TRUE_TIME_MILLIS + 9_000);
        medianClock.recordPeerTime("b", TRUE_TIME_MILLIS + 9_000);
        medianClock.retainPeers(Set.of());
        assertEquals(TRUE_TIME_MILLIS, medianClock.epochMillis());
    }
}
