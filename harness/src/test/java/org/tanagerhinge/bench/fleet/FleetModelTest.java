package org.tanagerhinge.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.relay.Mechanism;

/** Tests placement of many gateways with delayed peer reports under bursts, outages and memory pressure. */
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

    /**
     * Guards against a burst of long low-priority prompts, on engines with empty caches, that makes most answers late.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void admissionServesMoreOnTimeInBurstOfLongPrompts(long seed) {
        FleetScenario scenario = SCENARIO.withDisturbances(List.of(DRAFTS), List.of());
        FleetResult with = FleetModel.simulate(scenario, seed, Set.of());
        FleetResult without = FleetModel.simulate(scenario, seed, Set.of(Mechanism.ADMISSION));
        for (String kind : List.of("draft", "quote")) {
            assertTrue(
                    onTime(with, kind) > onTime(without, kind) + 0.05,
                    kind + "\n" + with.summary() + without.summary());
        }
        assertTrue(onTime(with, "summary") > onTime(without, "summary") - 0.05, with.summary() + without.summary());
        assertTrue(
                with.kind("draft").abandoned() * 10 < without.kind("draft").abandoned() + 10,
                with.summary() + without.summary());
        assertTrue(served(with, "draft") * 2 > with.kind("draft").requests(), with.summary());
        assertTrue(served(with, "summary") * 100 > 95 * with.kind("summary").requests(), with.summary());
    }

    /** Guards against a slow recovery when a quarter of the engines restart with empty caches during a burst. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void creditRecoversAfterLossOfAQuarterOfTheEngines(long seed) {
        FleetScenario scenario =
                SCENARIO.withDisturbances(List.of(DRAFTS), List.of(new FleetScenario.Outage(0.25, 5, 7)));
        FleetResult result = FleetModel.simulate(scenario, seed, Set.of());
        double after = meanCredit(result, 11);
        assertTrue(after > 0.85, after + "\n" + result.summary());
    }

    /** Guards against rejections at the usual load while the caches of the engines are still empty. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fewRequestsFailWithoutDisturbances(long seed) {
        FleetResult result = FleetModel.simulate(SCENARIO.withDisturbances(List.of(), List.of()), seed, Set.of());
        FleetResult.Tally drafts = result.kind("draft");
        assertTrue(drafts.failed() * 100 < 2 * drafts.requests(), result.summary());
        assertTrue(meanCredit(result, 8) > 0.93, result.summary());
    }

    /**
     * Guards against preemption of the most urgent kind beside a less urgent one, which happened when the rank of a
     * preferred workspace went before the rank of the kind.
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
        assertTrue(result.preempted() > 50, "engines lack slots\n" + result.summary());
        assertEquals(0, result.preemptedBesideLessUrgent(), result.summary());
    }

    /**
     * Guards against callers who come back as told in a burst beyond capacity and are rejected again, since the times
     * were not spread by capacity or new requests took the place.
     */
    @Test
    void retryScheduleServesMoreOfThoseWhoComeBack() {
        FleetScenario scenario = SCENARIO.withDisturbances(List.of(DRAFTS), List.of());
        double with = 0;
        double without = 0;
        for (long seed = 1; seed <= 5; seed++) {
            with += FleetModel.simulate(scenario, seed, Set.of()).servedShareOfCameBack();
            without += FleetModel.simulate(scenario, seed, Set.of(Mechanism.RETRY_SCHEDULE))
                    .servedShareOfCameBack();
        }
        assertTrue(with > without, "served of those who came back " + with / 5 + ", without " + without / 5);
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
        assertTrue(few < all, few + " tokens prefilled again with HOLDERS_ONLY, without it " + all);
    }

    @Test
    void fetchReducesRepeatedPrefill() {
        FleetScenario scenario = SCENARIO.withDisturbances(List.of(DRAFTS), List.of());
        FleetResult with = FleetModel.simulate(scenario, 1, Set.of());
        FleetResult without = FleetModel.simulate(scenario, 1, Set.of(Mechanism.FETCH));
        assertTrue(with.repeatedPrefill() < 0.9 * without.repeatedPrefill(), with.summary() + without.summary());
    }
}
