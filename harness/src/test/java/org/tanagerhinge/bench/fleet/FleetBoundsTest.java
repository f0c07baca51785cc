package org.tanagerhinge.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.bench.fleet.FleetBounds.Bound;

/** Tests that random fleet runs notice uneven service, and nothing else. */
class FleetBoundsTest {
    private final List<RequestOutcome> outcomes = new ArrayList<>();

    /** Adds requests of increasing size, one every 10 ms, that are lost where the predicate says so. */
    private void add(String kind, int rank, String workspace, int count, IntPredicate lost) {
        for (int i = 0; i < count; i++) {
            boolean isLost = lost.test(i);
            outcomes.add(new RequestOutcome(
                    kind,
                    rank,
                    workspace,
                    100 + i,
                    10.0 * i,
                    isLost ? Double.NaN : 10.0 * i,
                    10.0 * i + 5,
                    isLost ? RequestOutcome.Result.LOST : RequestOutcome.Result.SERVED,
                    ""));
        }
    }

    private List<Bound> violatedBounds() {
        return FleetBounds.violations(outcomes).stream()
                .map(FleetBounds.Violation::bound)
                .toList();
    }

    /** Guards against failures of runs in which everyone loses the same share. */
    @Test
    void evenLossViolatesNothing() {
        add("draft", 1, "a", 200, i -> i % 2 == 0);
        add("draft", 1, "b", 50, i -> i % 2 == 0);
        assertEquals(List.of(), violatedBounds());
    }

    /** Guards against a workspace that is hardly served without being noticed. */
    @ParameterizedTest
    @CsvSource({"8, 1", "3, 0"})
    void workspaceServedLessThanAQuarterAsOftenAsAll(int servedEvery, int violations) {
        add("draft", 0, "a", 400, i -> i % 5 == 0);
        add("draft", 0, "b", 40, i -> i % servedEvery != 0);
        assertEquals(
                violations,
                violatedBounds().stream().filter(Bound.WORKSPACE::equals).count());
    }

    /** Guards against a kind that is hardly served without being noticed. */
    @Test
    void kindServedLessThanAQuarterAsOftenAsAll() {
        add("draft", 0, "a", 400, i -> false);
        add("digest", 1, "a", 40, i -> i % 10 != 0);
        assertEquals(List.of(Bound.KIND), violatedBounds());
    }

    /** Guards against large requests that are rejected for the sake of small ones without being noticed. */
    @ParameterizedTest
    @CsvSource({"180, 200", "140, 180"})
    void largeRequestsServedLessThanHalfAsOftenAsTheirKind(int fromLost, int toLost) {
        add("draft", 0, "a", 200, i -> i >= fromLost && i < toLost);
        assertEquals(List.of(Bound.SIZE), violatedBounds());
    }

    /** Guards against urgent requests that are lost while twice as many less urgent ones start. */
    @ParameterizedTest
    @CsvSource({"0, 1, 1", "1, 0, 0", "0, 0, 0"})
    void urgentRequestsLostBesideLessUrgentOnes(int lostRank, int startedRank, int violations) {
        add("draft", lostRank, "a", 400, i -> i % 10 == 0);
        add("digest", startedRank, "a", 400, i -> false);
        assertEquals(violations, violatedBounds().size());
    }

    /** Guards against runs that fail because of requests that no decision could have served. */
    @Test
    void crashedRequestsDontCount() {
        add("digest", 1, "a", 400, i -> false);
        for (int i = 0; i < 100; i++) {
            outcomes.add(new RequestOutcome(
                    "draft", 0, "b", 100, 10.0 * i, 10.0 * i, 10.0 * i, RequestOutcome.Result.CRASHED, ""));
        }
        assertEquals(List.of(), violatedBounds());
    }

    /** Guards against runs that a seed doesn't reproduce, and against requests with no outcome or two. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void sameSeedReproducesTheRun(long seed) {
        FleetSoak.Result result = FleetSoak.run(seed);
        assertEquals(result, FleetSoak.run(seed));
        assertTrue(
                result.violations().stream().noneMatch(violation -> violation.startsWith("OUTCOME")),
                result.violations().toString());
    }
}
