package org.tanagerhinge.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against urgent requests that are lost while large, less urgent ones begin at the same service. */
class UrgentRequestsInShortageTest {
    private static final double LARGE_FACTOR = 8;
    private static final double URGENT_FACTOR = 3.5;
    private static final int BURST_FROM_SECONDS = 4;
    private static final int SECONDS = 24;
    private static final double RESTART_FROM_SECONDS = 8;
    private static final double RESTART_GAP_SECONDS = 0.3;

    private static FleetScenario shortage() {
        FleetScenario base = FleetScenario.ownParts().scaledDown(5, SECONDS);
        return base.withDisturbances(
                List.of(
                        new FleetScenario.Burst("plan", LARGE_FACTOR, BURST_FROM_SECONDS, SECONDS),
                        new FleetScenario.Burst("question", URGENT_FACTOR, BURST_FROM_SECONDS, SECONDS)),
                List.of());
    }

    private static FleetScenario withRestartsOfAll(FleetScenario scenario) {
        return scenario.withRestarts(IntStream.range(0, scenario.gateways())
                .mapToObj(index ->
                        new FleetScenario.GatewayRestart(index, RESTART_FROM_SECONDS + RESTART_GAP_SECONDS * index))
                .toList());
    }

    /** Guards against urgent requests that queue at engines of their lane while large ones get the slots of others. */
    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "3, false", "1, true", "2, true", "3, true"})
    void urgentRequestsAreServedWhileLargeOnesBegin(long seed, boolean restarts) {
        FleetScenario scenario = restarts ? withRestartsOfAll(shortage()) : shortage();
        FleetResult result = FleetModel.simulate(scenario, seed, Set.of());
        assertEquals(List.of(), UrgentLosses.find(scenario, result.outcomes()), result.summary());
    }
}
