package org.tanagerhinge.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.relay.Mechanism;

/** Many gateways that decide on late reports of each other, on model engines: what each load pattern comes to. */
class FleetModelTest {
    private static final int SECONDS = 14;
    private static final FleetScenario SCENARIO = FleetScenario.manySlots().scaledDown(3, SECONDS);
    private static final FleetScenario.Burst DRAFTS = new FleetScenario.Burst("draft", 2.9, 0.5, 8);

    private static int served(FleetResult result, String kind) {
        return result.kind(kind).onTime() + result.kind(kind).late();
    }

    private static double onTime(FleetResult result, String kind) {
        return result.kind(kind).onTime() / (double) result.kind(kind).requests();
    }

    private static double meanCredit(FleetResult result, int fromSecond) {
        double sum = 0;
        for (int second = fromSecond; second < SECONDS; second++) {
            sum += result.creditOfSecond(second);
        }
        return sum / (SECONDS - fromSecond);
    }

    @Test
    void sameSeedReproducesTheRun() {
        FleetScenario scenario = SCENARIO.scaledDown(2, 4);
        assertEquals(
                FleetModel.simulate(scenario, 7, Set.of()).summary(),
                FleetModel.simulate(scenario, 7, Set.of()).summary());
    }

    /** Load: 2.9 times the long prompts of the last rank, on engines that hold nothing yet. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void admissionServesMoreOnTimeInBurstOfLongPrompts(long seed) {
        FleetScenario scenario = SCENARIO.withDisturbances(List.of(DRAFTS), List.of());
        FleetResult with = FleetModel.simulate(scenario, seed, Set.of());
        FleetResult without = FleetModel.simulate(scenario, seed, Set.of(Mechanism.ADMISSION));
        for (String kind : List.of("draft", "quote")) {
            assertTrue(onTime(with, kind) > onTime(without, kind) + 0.05, kind + "\n" + with.summary() + without.summary());
        }
        assertTrue(onTime(with, "summary") > onTime(without, "summary") - 0.05, with.summary() + without.summary());
        assertTrue(with.kind("draft").abandoned() * 10 < without.kind("draft").abandoned() + 10, with.summary() + without.summary());
        assertTrue(served(with, "draft") * 2 > with.kind("draft").requests(), with.summary());
        assertTrue(served(with, "summary") * 100 > 95 * with.kind("summary").requests(), with.summary());
    }

    /** Load: a quarter of the engines is gone in the burst and comes back empty; long prompts come as usual after it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void creditRecoversAfterLossOfAQuarterOfTheEngines(long seed) {
        FleetScenario scenario = SCENARIO.withDisturbances(List.of(DRAFTS), List.of(new FleetScenario.Outage(0.25, 5, 7)));
        FleetResult result = FleetModel.simulate(scenario, seed, Set.of());
        double after = meanCredit(result, 11);
        assertTrue(after > 0.85, after + "\n" + result.summary());
    }

    /** Load: none beyond the usual, on engines that hold nothing yet: it is no burst, and hardly anybody may be sent away. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fewRequestsFailWithoutDisturbances(long seed) {
        FleetResult result = FleetModel.simulate(SCENARIO.withDisturbances(List.of(), List.of()), seed, Set.of());
        FleetResult.Tally drafts = result.kind("draft");
        assertTrue(drafts.failed() * 100 < 2 * drafts.requests(), result.summary());
        assertTrue(meanCredit(result, 8) > 0.93, result.summary());
    }

    /**
     * Questions, the most urgent kind, were put back in mid-stream by the dozen while plans ran on beside them. Half of the
     * engines were gone, questions came five times as often, and no engine had a free place. One workspace had a more urgent
     * rank than the others, and its rank went before that of the kind: the plans of that workspace were sent with level 3,
     * the questions of all others with 4 and 5. Engines did as they were told. Each further request of the preferred
     * workspace took the place of somebody's question, while its plans stayed to their end. Lines of one engine, in the order
     * of the sends (ranks of the configuration: workspaces [0, 1], routes [0, 1]):
     *
     * <pre>
     *   rank 4 level 6, a plan:      last event at 7.69 s
     *   rank 3 level 5, 6 questions: last events at 7.73, 7.74, 7.74, 7.74, 7.79 and 7.81 s
     *   rank 3 level 4, a question:  pause of 405 ms from 7.82 s
     *   rank 1 level 3, a plan:      7.38 to 8.48 s, no pause over 110 ms
     * </pre>
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void preemptsNoRequestBesideOneOfALessUrgentKind(long seed) {
        FleetScenario scenario = FleetScenario.fewSlots()
                .scaledDown(3, 10)
                .withPreferredShare(0.15)
                .withSlotPreemption()
                .withDisturbances(
                        List.of(new FleetScenario.Burst("plan", 3, 1, 8), new FleetScenario.Burst("question", 5, 2, 8)),
                        List.of(new FleetScenario.Outage(0.5, 3, 8)));
        FleetResult result = FleetModel.simulate(scenario, seed, Set.of());
        assertTrue(result.preempted() > 50, "engines are short of places\n" + result.summary());
        assertEquals(0, result.preemptedBesideLessUrgent(), result.summary());
    }

    @Test
    void holdersOnlyReducesRepeatedPrefill() {
        long few = 0;
        long all = 0;
        for (long seed = 1; seed <= 3; seed++) {
            FleetScenario scenario = FleetScenario.fewSlots();
            few += FleetModel.simulate(scenario, seed, Set.of(Mechanism.FETCH)).repeatedPrefill();
            all += FleetModel.simulate(scenario, seed, Set.of(Mechanism.FETCH, Mechanism.HOLDERS_ONLY))
                    .repeatedPrefill();
        }
        assertTrue(few < all, few + " tokens read again, and " + all);
    }

    @Test
    void fetchReducesRepeatedPrefill() {
        FleetScenario scenario = SCENARIO.withDisturbances(List.of(DRAFTS), List.of());
        FleetResult with = FleetModel.simulate(scenario, 1, Set.of());
        FleetResult without = FleetModel.simulate(scenario, 1, Set.of(Mechanism.FETCH));
        assertTrue(with.repeatedPrefill() < 0.9 * without.repeatedPrefill(), with.summary() + without.summary());
    }
}
