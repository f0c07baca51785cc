package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how many engines short prompts get where engines are slower than usual at times. */
class UnevenLaneSizingTest {
    private static final double GAP_MILLIS = 200;
    private static final double PREFILL_MILLIS = 7;

    private static List<ServerInstance> engines(int count, double factor) {
        List<ServerInstance> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerInstance engine = ServerInstance.of(RelayFixture.registration("e" + i, false));
            engine.workTime().record(factor, 0);
            engines.add(engine);
        }
        return engines;
    }

    private static int size(List<ServerInstance> engines, LaneDemand demand, double slowness) {
        return new UnevenLaneSizing(96, 112, GAP_MILLIS, PREFILL_MILLIS, slowness).shortLaneSize(engines, demand, true);
    }

    /** Guards against streams that exceed their gaps because the lane is sized for engines at their usual speed. */
    @Test
    void shortLaneGetsRoomForSlowMoments() {
        LaneDemand demand = new LaneDemand(190, 90_000, 900_000);
        assertTrue(size(engines(29, 1), demand, 2.5) > size(engines(29, 1), demand, 1) + 2);
    }

    /** Guards against reserves for slow moments at the expense of long prompts that need the engines. */
    @Test
    void roomForSlowMomentsYieldsToTheNeedOfTheLongLane() {
        LaneDemand demand = new LaneDemand(190, 90_000, 1_500_000);
        List<ServerInstance> engines = engines(29, 1);
        int size = size(engines, demand, 2.5);
        assertTrue((engines.size() - size) * 0.6 * 112_000 >= demand.longTokensPerSecond(), "short lane of " + size);
        assertTrue(size >= size(engines, demand, 1), "short lane of " + size);
    }

    /** Guards against streams concentrated on few engines while other engines are idle. */
    @Test
    void enginesThatNeitherLaneNeedsAreDividedInProportion() {
        LaneDemand demand = new LaneDemand(60, 30_000, 70_000);
        int size = size(engines(29, 1), demand, 2.5);
        assertTrue(size > 10 && size < 29, "short lane of " + size);
    }

    /** Guards against a lane sized by the number of engines although some have half the capacity of others. */
    @Test
    void slowerEnginesMakeALaneLarger() {
        LaneDemand demand = new LaneDemand(190, 90_000, 1_200_000);
        List<ServerInstance> slowFirst = new ArrayList<>(engines(10, 2));
        slowFirst.addAll(engines(19, 1));
        assertTrue(size(slowFirst, demand, 1) > size(engines(29, 1), demand, 1));
    }

    @ParameterizedTest
    @CsvSource({"2, 500, 900000, 900000", "2, 0, 0, 10", "5, 4000, 9000000, 9000000", "29, 1, 10, 90000000"})
    void bothLanesHaveAnEngineInAnyShortage(int count, double inFlight, double shortTokens, double longTokens) {
        int size = size(engines(count, 1), new LaneDemand(inFlight, shortTokens, longTokens), 4);
        assertTrue(size >= 1 && size < count, "short lane of " + size);
    }

    /** Guards against lanes of equal size in an overload, whatever the two demands are. */
    @Test
    void shortageIsDividedByTheTrueNeeds() {
        LaneDemand demand = new LaneDemand(40 * 0.8 * 96, 0, 10 * 0.6 * 112_000);
        int size = new UnevenLaneSizing(96, 112, GAP_MILLIS, PREFILL_MILLIS, 2)
                .shortLaneSize(engines(10, 1), demand, false);
        assertEquals(8, size);
    }

    /** Guards against engines that move between the lanes with each swing of the demand. */
    @Test
    void laneShrinksOnlyAfterTheDemandHasStayedLower() {
        LaneSizeHold hold = LaneSizeHold.create();
        assertEquals(9, hold.hold(9, 1_000));
        assertEquals(9, hold.hold(4, 1_100));
        assertEquals(12, hold.hold(12, 1_200));
        assertEquals(12, hold.hold(4, 1_600));
        assertEquals(4, hold.hold(4, 2_200));
        assertEquals(3, hold.hold(3, 9_000));
    }
}
