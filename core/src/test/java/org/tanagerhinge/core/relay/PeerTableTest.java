package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Who is heard, in which order, and who reads the store for all. */
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
                1,
                0,
                0,
                intervalMillis,
                Map.of("a", new PeerReport.InstanceLoad(2, 100)),
                Map.of("model", new LaneDemand(1, 2, 3)));
    }

    @Test
    void presentNodeWithTheSmallestNameAndAReachableStoreIsTheReader() {
        PeerTable table = PeerTable.of("b");
        assertTrue(table.isStoreReader(true, 0), "alone");
        table.accept(report("a", 1, 1, true), 0);
        assertFalse(table.isStoreReader(true, 100));
        assertTrue(table.isStoreReader(true, 5_000), "the other has fallen silent");
        table.accept(report("a", 1, 2, false), 5_000);
        assertTrue(table.isStoreReader(true, 5_100), "the store turns the other away");
        table.accept(report("c", 1, 1, true), 5_000);
        assertFalse(table.isStoreReader(false, 5_100), "the store turns this one away");
    }

    /**
     * Symptom: with many gateways several read the store, by turns. Events: reports come seldom, since there are many
     * peers to tell; one is lost. Cause: a fixed time after which a peer counts as away.
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
        assertTrue(table.accept(report("a", 2, 1, true), 2), "its process has started again");
        assertFalse(table.accept(report("b", 9, 9, true), 3), "its own");
        assertEquals(2, table.loads(10).get("a").inFlight());
        assertTrue(table.loads(5_000).isEmpty(), "old reports say nothing of now");
    }

    /**
     * Symptom: after a restart a node's load was invisible to its peers for half a minute, and two nodes read the store.
     * Events: the time of day of its host steps back, its process is killed and starts again. Cause: incarnations were
     * taken from the time of day, so the new one looked older than the one before.
     */
    @Test
    void acceptsARestartedPeerWithASmallerIncarnation() {
        PeerTable table = PeerTable.of("b");
        table.accept(report("a", 9_000, 70, true), 0);
        assertTrue(table.accept(report("a", 4_000, 1, true), 100));
        assertFalse(table.accept(report("a", 9_000, 71, true), 110), "a late report of the process that has ended");
        assertTrue(table.accept(report("a", 4_000, 2, true), 120));
    }
}
