package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what requests of a rank find ahead of them at a server. */
class RankedLoadTest {
    private static final int SLOTS = 48;

    private static RankedLoad load(int urgent, int lessUrgent) {
        RankedLoad load = RankedLoad.create();
        load.add(0, urgent, 100L * urgent);
        load.add(1, lessUrgent, 1_000L * lessUrgent);
        return load;
    }

    /** Guards against urgent requests that avoid a server for the sake of less urgent ones that wait there. */
    @ParameterizedTest
    @CsvSource({"10, 20, 30, 30", "10, 100, 48, 110", "60, 0, 60, 60", "60, 30, 60, 90"})
    void waitingRequestsCountOnlyForThoseThatAreAsUrgent(int urgent, int lessUrgent, int aheadOf0, int aheadOf1) {
        ServerInstance server = ServerInstance.of(RelayFixture.registration("e", false));
        server.updatePeerLoad(load(urgent, lessUrgent));
        assertEquals(SLOTS, server.slots());
        assertEquals(aheadOf0, server.inFlightAheadOf(0));
        assertEquals(aheadOf1, server.inFlightAheadOf(1));
        assertEquals(100L * urgent, server.pendingPrefillTokensAheadOf(0));
    }

    @Test
    void changedReportReplacesThePeersEarlierOne() {
        ServerInstance server = ServerInstance.of(RelayFixture.registration("e", false));
        server.adjustPeerLoad(RankedLoad.create(), load(3, 4));
        server.adjustPeerLoad(load(3, 4), load(1, 9));
        assertEquals(10, server.totalInFlight());
        assertEquals(1, server.totalInFlightUpTo(0));
        assertEquals(9_100, server.totalPendingPrefillTokens());
    }

    /** Guards against a negative load after lost reports. */
    @Test
    void loadThatWasNeverReportedIsNotSubtracted() {
        RankedLoad load = load(1, 0);
        load.subtract(load(2, 2));
        assertEquals(RankedLoad.create(), load);
    }

    @Test
    void ranksBeyondTheLastCountAsTheLast() {
        RankedLoad load = RankedLoad.create();
        load.add(RankedLoad.RANKS + 5, 2, 10);
        assertEquals(2, load.inFlight(RankedLoad.RANKS - 1));
        assertEquals(2, load.inFlightUpTo(RankedLoad.RANKS + 1));
    }
}
