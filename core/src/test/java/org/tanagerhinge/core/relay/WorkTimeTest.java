package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is believed of a host's speed from the work times that its server states. */
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
    @ValueSource(doubles = {0, -1, 21, Double.NaN, Double.POSITIVE_INFINITY})
    void ignoresImplausibleFactors(double factor) {
        WorkTime workTime = WorkTime.create();
        assertFalse(workTime.record(factor, 10));
        assertFalse(workTime.known());
    }

    /** Guards against a host that is avoided, or used, long after its neighbors have changed. */
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

    /** Guards against a server that stays slow, or recovers, and is still taken for what it was. */
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
        assertFalse(workTime.record(1, 4_900));
        assertEquals(2.5, workTime.current(5_000));
    }

    /** Guards against lanes that change with every statement of a server whose speed is near the border of two bands. */
    @Test
    void bandChangesOnlyBeyondItsHysteresis() {
        assertEquals(-1, stating(0.55, 3).band());
        assertEquals(0, stating(1.2, 3).band());
        WorkTime nearBorder = stating(1.0, 15);
        for (int i = 0; i < 100; i++) {
            nearBorder.record(i % 2 == 0 ? 1.21 : 1.25, 10_000 + 300L * i);
            assertEquals(0, nearBorder.band());
        }
    }
}
