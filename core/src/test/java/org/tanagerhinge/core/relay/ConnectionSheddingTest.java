package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against a node that accepts more than it can serve, and against one that turns callers away without need. */
class ConnectionSheddingTest {
    private static final long LATE_MILLIS = ConnectionShedding.MAX_DELAY_MILLIS + 1;

    private final ConnectionShedding shedding = ConnectionShedding.create();
    private long nowMillis;

    /** Lets some connections arrive, one every five milliseconds, and returns how many are closed. */
    private int closed(int connections) {
        int closed = 0;
        for (int i = 0; i < connections; i++) {
            nowMillis += 5;
            closed += shedding.recordConnection(nowMillis) ? 1 : 0;
        }
        return closed;
    }

    private void loopIsLate(int times, long delayMillis) {
        for (int i = 0; i < times; i++) {
            shedding.recordLoopDelay(delayMillis, nowMillis);
        }
    }

    @Test
    void closesMoreConnectionsTheLongerTheLoopIsLate() {
        shedding.updatePeerRate(OptionalDouble.of(20));
        assertEquals(0, closed(1_000));
        loopIsLate(5, LATE_MILLIS);
        assertEquals(500, closed(1_000), 1);
        assertFalse(shedding.dispersesCallers());
        loopIsLate(5, LATE_MILLIS);
        assertEquals(100, closed(100), 1);
        assertTrue(shedding.dispersesCallers());
    }

    /** Guards against callers turned away by a node with room for them, after a single pause of its event loop. */
    @Test
    void closesNothingAfterAPauseOfTheLoop() {
        shedding.updatePeerRate(OptionalDouble.of(20));
        closed(1_000);
        for (int i = 0; i < 20; i++) {
            loopIsLate(ConnectionShedding.MIN_DELAYS - 1, 10 * LATE_MILLIS);
            loopIsLate(1, 0);
            assertEquals(0, closed(100));
        }
    }

    @Test
    void acceptsAllConnectionsAgainOnceTheLoopIsInTime() {
        shedding.updatePeerRate(OptionalDouble.of(20));
        closed(1_000);
        loopIsLate(10, LATE_MILLIS);
        loopIsLate(50, 0);
        assertEquals(0, closed(100));
    }

    /** Guards against nodes that pass callers to and fro while all are overloaded, or that are alone. */
    @Test
    void closesNothingWhereOtherNodesGetAsManyConnectionsOrAreUnknown() {
        closed(1_000);
        loopIsLate(10, LATE_MILLIS);
        assertEquals(0, closed(100), "no other node is known");
        shedding.updatePeerRate(OptionalDouble.of(150));
        loopIsLate(10, LATE_MILLIS);
        assertEquals(0, closed(100), "the others get nearly as many");
    }

    @Test
    void rateOfConnectionsDecays() {
        closed(1_000);
        assertEquals(200, shedding.connectionsPerSecond(nowMillis), 10);
        assertEquals(0, shedding.connectionsPerSecond(nowMillis + 10_000), 0.1);
    }
}
