package org.tanagerhinge.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests since when a process reports to have counted requests. */
class UsageCounterTest {
    private static final long START_MILLIS = 1_700_000_000_000L;

    private long steadyMillis = 5_000;
    private long wallClockMillis = START_MILLIS;
    private final NodeClock clock = new NodeClock() {
        @Override
        public long steadyMillis() {
            return steadyMillis;
        }

        @Override
        public long wallClockMillis() {
            return wallClockMillis;
        }
    };

    /**
     * Guards against empty counts that are committed for a window which ended before any running process started: the
     * clock of one was stepped back when it started.
     */
    @Test
    void startIsCorrectedByTheClocksOfOthers() {
        Duration lease = Duration.ofSeconds(3);
        DutySettings settings =
                new DutySettings("a", lease, lease, true, lease, Duration.ofSeconds(5), Duration.ofSeconds(10));
        MedianClock medianClock = MedianClock.of(clock);
        wallClockMillis = START_MILLIS - 20_000;
        UsageCounter counter = UsageCounter.of(settings, medianClock, 1);
        steadyMillis += 1_000;
        wallClockMillis += 1_000;
        medianClock.recordPeerTime("b", START_MILLIS + 1_000);
        medianClock.recordPeerTime("c", START_MILLIS + 1_000);
        assertEquals(START_MILLIS, counter.snapshot(false).sinceMillis());
    }
}
