package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which ranks are reported to lose requests while less urgent ones begin. */
class RankOutcomesTest {
    private final RankOutcomes outcomes = RankOutcomes.create();

    private void ask(int rank, int count, int begun, int lost, long atMillis) {
        for (int i = 0; i < count; i++) {
            outcomes.recordAsked("model", rank, atMillis);
            if (i < begun) {
                outcomes.recordBegun("model", rank, atMillis);
                outcomes.recordServed("model", rank, atMillis);
            }
            if (i >= count - lost) {
                outcomes.recordLost("model", rank, i % 2 == 0 ? "caller_gone" : "no_server", atMillis);
            }
        }
    }

    @Test
    void lostRequestsAreCountedByCause() {
        ask(0, 40, 30, 10, 1_000);
        ask(1, 20, 20, 0, 2_000);
        assertEquals(
                List.of(new RankOutcomes.Shortfall(
                        "model", 0, 40, 30, 30, Map.of("caller_gone", 5, "no_server", 5), 20)),
                outcomes.shortfalls(3_000));
    }

    /** Guards against reports of losses that no other order of requests could have avoided. */
    @ParameterizedTest
    @CsvSource({"0, 3, 40, 0", "0, 4, 40, 1", "1, 20, 40, 0", "0, 2, 10, 0"})
    void ranksBesideNothingLessUrgentOrWithFewLossesAreNotReported(int rank, int lost, int asked, int reported) {
        ask(rank, asked, asked - lost, lost, 1_000);
        ask(1 - rank, 40, 40, 0, 1_000);
        assertEquals(reported, outcomes.shortfalls(1_500).size());
    }

    @Test
    void countsEndWithTheWindow() {
        ask(0, 40, 0, 40, 1_000);
        ask(1, 40, 40, 0, 5_999);
        assertEquals(1, outcomes.shortfalls(5_999).size());
        assertEquals(0, outcomes.shortfalls(6_000).size());
    }
}
