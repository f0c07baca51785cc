package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tanagerhinge.core.relay.RelayFixture.route;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who yields to whom, and which prompts an engine reads first. */
class RankOrderTest {
    /**
     * Symptom: questions got nothing while cards of over twice their size began. Events: engines leave until one is left;
     * both kinds fill its places and its queue. Cause: whatever came was sent.
     */
    @Test
    void aServerWhereMoreUrgentRequestsAreOverdueIsLeftToThem() {
        RankGate gate = RankGate.create();
        RankGate.Waiting first = RankGate.Waiting.of("e", 0, 300);
        RankGate.Waiting second = RankGate.Waiting.of("e", 0, 400);
        gate.sent(first);
        gate.sent(second);
        assertFalse(gate.yields(1, "e", 250), "nobody is overdue");
        assertFalse(gate.yields(1, "e", 350), "one may be a lost answer");
        assertTrue(gate.yields(1, "e", 500));
        assertFalse(gate.yields(0, "e", 500), "the most urgent never yield");
        assertFalse(gate.yields(1, "other", 500));
        gate.settled(second);
        assertFalse(gate.yields(1, "e", 600), "the shortage is over");
    }
    /**
     * Load: a burst of prompts whose reading takes from a hundredth of the target to half of it. Symptom: all of them were
     * late. Cause: engines read them in the order of arrival, and the small ones waited for the large ones.
     */
    @Test
    void whatTakesLittleReadingForItsSizeGoesFirst() {
        ReadingOrder order = ReadingOrder.create();
        Route plan = route(RouteKind.STREAM, true, 2);
        Prompt usual = Prompt.of(9_000, 50, List.of());
        assertEquals(ReadingOrder.STEPS - 1, order.step(plan, usual, 9_000, 45), "new, takes two thirds of the target");
        assertEquals(0, order.step(plan, usual, 300, 45), "held but for a little");
        int half = order.step(plan, usual, 2_000, 45);
        assertTrue(half > 0 && half < ReadingOrder.STEPS - 1);
        Prompt small = Prompt.of(2_000, 50, List.of());
        assertTrue(order.step(plan, small, 2_000, 45) > half, "as much reading, less of an answer");
        for (int held = 0, before = ReadingOrder.STEPS; held < 9_000; held += 500) {
            int step = order.step(plan, usual, 9_000 - held, 45);
            assertTrue(step <= before, "less to read never goes later");
            before = step;
        }
    }

    @ParameterizedTest
    @CsvSource({"1", "2", "3", "5", "6", "10", "18"})
    void noStepOfARankGoesBehindALessUrgentRank(int ranks) {
        for (int rank = 0; rank + 1 < ranks; rank++) {
            int last = Urgency.level(rank, ranks, ReadingOrder.STEPS - 1);
            int next = Urgency.level(rank + 1, ranks, 0);
            assertTrue(ranks <= 10 ? last < next : last <= next, "rank " + rank + " of " + ranks);
        }
        assertEquals(0, Urgency.level(0, ranks, 0));
        assertTrue(Urgency.level(ranks - 1, ranks, ReadingOrder.STEPS - 1) <= 9);
    }
}
