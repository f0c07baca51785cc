package org.tanagerhinge.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which losses of urgent requests are reported. */
class UrgentLossesTest {
    private static final FleetScenario SCENARIO = FleetScenario.ownParts().scaledDown(5, 12);
    private static final int URGENT = 180;

    private final List<RequestOutcome> outcomes = new ArrayList<>();

    private void add(String kind, int rank, int tokens, double atMillis, boolean served) {
        outcomes.add(new RequestOutcome(
                kind,
                rank,
                "",
                tokens,
                atMillis,
                atMillis,
                atMillis + 100,
                served ? RequestOutcome.Result.SERVED : RequestOutcome.Result.LOST,
                ""));
    }

    /** Guards against losses that go unnoticed, and against reports where no other order could have helped. */
    @ParameterizedTest
    @CsvSource({
        "16, 1, 9000, 0, 1",
        "15, 1, 9000, 0, 0",
        "16, 1, 1500, 0, 0",
        "16, 0, 9000, 0, 0",
        "16, 1, 9000, 3, 0",
        "16, 1, 9000, 12, 1",
    })
    void lossIsReportedBesideLargeLessUrgentRequestsInCalmSeconds(
            int lost, int otherRank, int otherTokens, int restartAtSeconds, int reported) {
        for (int i = 0; i < URGENT; i++) {
            add("question", 0, 800, 20.0 * i, i >= lost);
        }
        add("plan", otherRank, otherTokens, 2_000, true);
        FleetScenario scenario = restartAtSeconds == 0
                ? SCENARIO
                : SCENARIO.withRestarts(List.of(new FleetScenario.GatewayRestart(0, restartAtSeconds)));
        assertEquals(reported, UrgentLosses.find(scenario, outcomes).size());
    }
}
