package org.tanagerhinge.bench.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunOutcome;

/** A short fixed set of random runs, the seeds that once failed, and proof that the checks of a run can fail. */
class SoakTest {
    private static final RequestId CALL = RequestId.of("r1-1");

    @Test
    void fixedSeedsPassWithoutFailure() {
        List<Soak.Result> results = Soak.runAll(1, 24, 4);
        for (Soak.Result result : results) {
            assertTrue(result.passed(), () -> "seed " + result.seed() + ": " + result.failure());
        }
        long checks = results.stream()
                .flatMap(result -> result.checks().values().stream())
                .mapToLong(Long::longValue)
                .sum();
        assertTrue(checks > 100_000, () -> "only " + checks + " checks were made");
    }

    /**
     * Symptom of each: a keyed request ran twice. Events and causes, all of them while the claims of keys were kept by the
     * agents themselves: 32, a home stopped as planned and its successor
     * granted before the router that knew the claim was back; 52, a home and the router that made a claim crashed one
     * after the other; 120, a home was restarted twice and the second run forgot whose word the first still waited for;
     * 160, a fate that was settled counted as open; 305, two calls of one key at one router shared a generation, and one
     * gave it back; 838, a claim that was not granted after all took the record of the former one with it;
     * 153, more homes than journal writes could keep up with. The platform's store keeps the claims now.
     */
    @ParameterizedTest
    @ValueSource(longs = {32, 52, 120, 153, 160, 305, 838})
    void formerlyFailingSeedPasses(long seed) {
        assertEquals("", Soak.run(seed).failure());
    }

    @Test
    void sameSeedReproducesTheRun() {
        assertEquals(Soak.run(7), Soak.run(7));
    }

    @Test
    void secondStartOfNonIdempotentRequestViolatesInvariant() {
        Simulation sim = new Simulation(1, false);
        SimRequest request = new SimRequest(1, "card", false, false, true, 5);
        request.starts(sim, "engine-0", CALL);
        assertViolates(Invariant.AT_MOST_ONCE, () -> request.starts(sim, "engine-1", CALL));
    }

    @Test
    void startAfterNotRunWasReportedViolatesInvariant() {
        Simulation sim = new Simulation(1, false);
        SimRequest request = new SimRequest(1, "chat", false, true, false, 5);
        request.reportedOutcomes(sim, RunOutcome.NOT_RUN, CALL);
        assertViolates(Invariant.NOT_RUN_IS_TRUE, () -> request.starts(sim, "engine-0", CALL));
    }

    @Test
    void startOfCallReportedNotRunViolatesInvariantDespiteOtherCallsOfTheKey() {
        Simulation sim = new Simulation(1, false);
        SimRequest request = new SimRequest(1, "card", false, false, true, 5);
        request.reportedOutcomes(sim, RunOutcome.UNKNOWN, RequestId.of("r1-2"));
        request.reportedOutcomes(sim, RunOutcome.NOT_RUN, CALL);
        assertViolates(Invariant.NOT_RUN_IS_TRUE, () -> request.starts(sim, "engine-0", CALL));
    }

    @Test
    void missingTokenViolatesInvariant() {
        SimCall call = call(new Simulation(1, false));
        call.receiveChunk("#1".getBytes(StandardCharsets.UTF_8));
        assertViolates(Invariant.WHOLE_ANSWER, () -> call.receiveChunk(" 2".getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void truncatedAnswerViolatesInvariant() {
        SimCall call = call(new Simulation(1, false));
        call.receiveChunk("#1".getBytes(StandardCharsets.UTF_8));
        assertViolates(Invariant.WHOLE_ANSWER, call::receiveCompletion);
    }

    @Test
    void notRunAfterPartialAnswerViolatesInvariant() {
        SimCall call = call(new Simulation(1, false));
        call.receiveChunk("#1".getBytes(StandardCharsets.UTF_8));
        assertViolates(
                Invariant.NOT_RUN_IS_TRUE, () -> call.receiveFailure(RequestFailure.notRun(ResultCode.QUEUE_FULL, "")));
    }

    private static SimCall call(Simulation sim) {
        SimRequest request = new SimRequest(1, "chat", false, true, false, 5);
        return new SimCall(sim, request, new SimRouter(sim, "router-0", "kita"), RequestId.of("r1-1"), 1);
    }

    private static void assertViolates(Invariant invariant, org.junit.jupiter.api.function.Executable action) {
        SoakFailure failure = assertThrows(SoakFailure.class, action);
        assertTrue(failure.getMessage().startsWith(invariant.label()), failure.getMessage());
    }
}
