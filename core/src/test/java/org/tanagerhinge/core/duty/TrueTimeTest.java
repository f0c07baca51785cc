package org.tanagerhinge.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the median over the clocks of a node and its peers. */
class TrueTimeTest {
    private static final long TRUE = 1_700_000_000_000L;

    private static final class Clock implements NodeClock {
        private long steady = 5_000;
        private long timeOfDay = TRUE;

        @Override
        public long steadyMillis() {
            return steady;
        }

        @Override
        public long wallClockMillis() {
            return timeOfDay;
        }
    }

    /** Guards against counts that move into another window when a minority of clocks is stepped. */
    @ParameterizedTest
    @CsvSource({"2000, 0", "-2000, 0", "0, 2000", "2000, 2000", "-2000, 2000"})
    void clocksThatAreSteppedAreOutvoted(long ownStep, long peersStep) {
        Clock clock = new Clock();
        clock.timeOfDay = TRUE + ownStep;
        MedianClock time = MedianClock.of(clock);
        time.recordPeerTime("a", TRUE + peersStep);
        time.recordPeerTime("b", TRUE);
        time.recordPeerTime("c", TRUE);
        time.recordPeerTime("d", TRUE);
        assertEquals(TRUE, time.epochMillis());
        clock.steady += 700;
        clock.timeOfDay += 700;
        assertEquals(TRUE + 700, time.epochMillis());
    }

    @Test
    void aNodeAloneGoesByItsOwnClock() {
        Clock clock = new Clock();
        MedianClock time = MedianClock.of(clock);
        time.recordPeerTime("a", TRUE + 9_000);
        time.recordPeerTime("b", TRUE + 9_000);
        time.retainPeers(Set.of());
        assertEquals(TRUE, time.epochMillis());
    }
}
