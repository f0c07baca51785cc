package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the speed of a host as derived from the work times that its server states. */
class WorkTimeTest {
    private static WorkTime stating(double factor, int times) {
        WorkTime workTime = WorkTime.create();
        for (int i = 0; i < times; i++) {
            workTime.record(factor, 300L * i);
        }
        return workTime;
    }

    @Test
    void isNominalUntilAServerStatesItsWorkTime() {
        WorkTime workTime = WorkTime.create();
        assertFalse(workTime.known());
        assertEquals(1, workTime.current(0));
        assertEquals(1, workTime.usual());
        assertEquals(0, workTime.band());
        assertTrue(workTime.recentlyStated(0).isEmpty());
    }

    /** Guards against a corrupt statement that makes a server look infinitely fast or slow. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.01, -1, 21, Double.NaN, Double.POSITIVE_INFINITY})
    void ignoresImplausibleFactors(double factor) {
        WorkTime workTime = WorkTime.create();
        assertFalse(workTime.record(factor, 10));
        assertFalse(workTime.known());
    }

    /** Guards against a host that is avoided, or used, long after its load has changed. */
    @Test
    void slowMomentIsCurrentOnlyWhileItsStatementIsRecent() {
        WorkTime workTime = stating(1.2, 15);
        workTime.record(3, 5_000);
        assertEquals(3, workTime.current(5_600));
        assertEquals(1.2, workTime.current(5_601));
        assertEquals(1.2, workTime.usual());
    }

    /** Guards against many responses within one slow moment that make it look usual. */
    @Test
    void manyStatementsWithinASlowMomentDoNotChangeTheUsualWorkTime() {
        WorkTime workTime = stating(1.2, 15);
        for (int i = 0; i < 200; i++) {
            workTime.record(3, 5_000 + 3L * i);
        }
        assertEquals(1.2, workTime.usual());
    }

    /** Guards against a server that stays slow, or recovers, and still counts as before. */
    @Test
    void lastingChangeBecomesUsual() {
        WorkTime workTime = stating(1, 15);
        for (int i = 0; i < 15; i++) {
            workTime.record(4, 10_000 + 300L * i);
        }
        assertEquals(4, workTime.usual());
        for (int i = 0; i < 15; i++) {
            workTime.record(1, 20_000 + 300L * i);
        }
        assertEquals(1, workTime.usual());
        assertEquals(0, workTime.band());
    }

    /** Guards against a late report of a peer that replaces a newer statement. */
    @Test
    void olderStatementOfAPeerIsIgnored() {
        WorkTime workTime = stating(1, 15);
        workTime.record(2.5, 5_000);
        assertFalse(workTime.recordFromPeer(new PeerReport.StatedWorkTime(1, 100), 5_000));
        assertEquals(2.5, workTime.current(5_000));
    }

    /** Guards against a wrong age in a report that makes a figure valid for weeks and blocks all newer ones. */
    @ParameterizedTest
    @ValueSource(longs = {-1, Integer.MIN_VALUE, 601, Integer.MAX_VALUE})
    void statementOfAPeerWithAnImpossibleAgeIsIgnored(long ageMillis) {
        WorkTime workTime = WorkTime.create();
        assertFalse(workTime.recordFromPeer(new PeerReport.StatedWorkTime(3, ageMillis), 10_000));
        assertFalse(workTime.known());
    }

    /** Guards against gateways that report each other's figures, each time as newer, so that none ever expires. */
    @Test
    void onlyStatementsToThisNodeAreReported() {
        WorkTime workTime = WorkTime.create();
        workTime.recordFromPeer(new PeerReport.StatedWorkTime(3, 10), 1_000);
        assertEquals(3, workTime.current(1_000));
        assertTrue(workTime.recentlyStated(1_000).isEmpty());
        workTime.record(1.2, 1_100);
        assertEquals(
                new PeerReport.StatedWorkTime(1.2, 50),
                workTime.recentlyStated(1_150).orElseThrow());
        assertTrue(workTime.recentlyStated(1_701).isEmpty());
    }

    /**
     * Guards against lanes that change with every statement of a server whose speed is near the border of two bands.
     */
    @Test
    void bandChangesOnlyBeyondItsHysteresis() {
        assertEquals(-1, stating(0.55, 3).band());
        assertEquals(0, stating(1.2, 3).band());
        WorkTime nearBorder = stating(1.2, 15);
        for (int i = 0; i < 15; i++) {
            nearBorder.record(1.25, 10_000 + 300L * i);
        }
        assertEquals(1.25, nearBorder.usual());
        assertEquals(0, nearBorder.band());
        for (int i = 0; i < 15; i++) {
            nearBorder.record(1.4, 20_000 + 300L * i);
        }
        assertEquals(1, nearBorder.band());
        for (int i = 0; i < 15; i++) {
            nearBorder.record(1.2, 30_000 + 300L * i);
        }
        assertEquals(1, nearBorder.band());
    }
}
