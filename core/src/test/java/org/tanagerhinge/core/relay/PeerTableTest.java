package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.store.StorePosition;

/** Tests which peer reports are accepted and which node reads the store for all. */
class PeerTableTest {
    private static PeerReport report(String name, long incarnation, long sequence, boolean storeReachable) {
        return report(name, incarnation, sequence, storeReachable, 250);
    }

    private static PeerReport report(
            String name, long incarnation, long sequence, boolean storeReachable, long intervalMillis) {
        return new PeerReport(
                name,
                incarnation,
                sequence,
                "1.2.3.4:5",
                storeReachable,
                0,
                1,
                0,
                0,
                0,
                StorePosition.NONE,
                intervalMillis,
                Map.of("a", RankedLoad.of(2, 100)),
                Map.of("model", new LaneDemand(1, 2, 3)),
                storeReachable ? OptionalDouble.of(sequence) : OptionalDouble.empty(),
                Map.of(),
                OptionalDouble.of(42.5));
    }

    /** Guards against callers that are passed on to nodes which take no new connections. */
    @Test
    void rateOfConnectionsIsThatOfNodesThatTakeAny() {
        PeerTable table = PeerTable.of("b");
        assertTrue(table.meanConnectionsPerSecond(0).isEmpty());
        table.accept(report("a", 1, 1, false), 0);
        assertTrue(table.meanConnectionsPerSecond(0).isEmpty());
        table.accept(report("c", 1, 10, true), 0);
        table.accept(report("d", 1, 20, true), 0);
        assertEquals(15, table.meanConnectionsPerSecond(0).orElseThrow());
    }

    @Test
    void prefillRateIsThatOfPresentNodes() {
        PeerTable table = PeerTable.of("b");
        assertTrue(table.meanPrefillRate(0).isEmpty());
        table.accept(report("a", 1, 1, true), 0);
        assertEquals(42.5, table.meanPrefillRate(0).orElseThrow());
        assertTrue(table.meanPrefillRate(5_000).isEmpty(), "the peer is absent");
    }

    @Test
    void presentNodeWithTheSmallestNameAndAReachableStoreIsTheReader() {
        PeerTable table = PeerTable.of("b");
        assertTrue(table.isStoreReader(true, 0), "no peers");
        table.accept(report("a", 1, 1, true), 0);
        assertFalse(table.isStoreReader(true, 100));
        assertTrue(table.isStoreReader(true, 5_000), "the peer is absent");
        table.accept(report("a", 1, 2, false), 5_000);
        assertTrue(table.isStoreReader(true, 5_100), "the peer can't reach the store");
        table.accept(report("c", 1, 1, true), 5_000);
        assertFalse(table.isStoreReader(false, 5_100), "this node can't reach the store");
    }

    /**
     * Guards against several store readers: with many peers reports are rare, and a fixed timeout would make a peer
     * absent after one lost report.
     */
    @Test
    void presenceTimeoutGrowsWithTheReportInterval() {
        PeerTable table = PeerTable.of("b");
        table.accept(report("a", 1, 1, true, 650), 0);
        assertFalse(table.isStoreReader(true, 1_500));
        assertTrue(table.isStoreReader(true, 1_700));
    }

    @Test
    void ignoresOutdatedAndOwnReports() {
        PeerTable table = PeerTable.of("b");
        assertTrue(table.accept(report("a", 1, 5, true), 0));
        assertFalse(table.accept(report("a", 1, 4, false), 1));
        assertTrue(table.accept(report("a", 2, 1, true), 2), "the peer restarted");
        assertFalse(table.accept(report("b", 9, 9, true), 3), "the node's own report");
        assertEquals(2, table.loads(10).get("a").inFlight());
        assertTrue(table.loads(5_000).isEmpty(), "the load of an absent peer doesn't count");
    }

    /**
     * Guards against ignoring a restarted peer whose wall clock stepped back: its incarnation isn't greater than the
     * previous one.
     */
    @Test
    void acceptsARestartedPeerWithASmallerIncarnation() {
        PeerTable table = PeerTable.of("b");
        table.accept(report("a", 9_000, 70, true), 0);
        assertTrue(table.accept(report("a", 4_000, 1, true), 100));
        assertFalse(table.accept(report("a", 9_000, 71, true), 110), "a delayed report of the previous incarnation");
        assertTrue(table.accept(report("a", 4_000, 2, true), 120));
    }
}
