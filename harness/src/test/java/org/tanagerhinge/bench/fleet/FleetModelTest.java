package org.tanagerhinge.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

    /** Guards against a model whose engines don't slow down while their hosts are busy, or slow down all the time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void engineIsSlowerInSlowPeriodsOfItsHost(long seed) {
        HostSpeeds speeds = new HostSpeeds(List.of(1.0), 20, 0.4, 1_000);
        FleetScenario scenario = new FleetScenario(
                        "one-engine",
                        1,
                        1,
                        FleetScenario.fewSlots().engine(),
                        List.of(new RequestKind(
                                "question", 0, 8, List.of(), 600, 0.1, 2, 250, 150, 15_000, 2_000, 1, 0, false)),
                        List.of(),
                        List.of(),
                        20,
                        0,
                        false)
                .withHosts(speeds);
        FleetResult result = FleetModel.simulate(scenario, seed, Set.of());
        HostModel host = new HostModel(speeds, 0, new SplittableRandom(seed).split());
        double slowCredit = meanCreditOfSeconds(result, second -> host.workTime(second * 1000) > 1);
        double usualCredit = meanCreditOfSeconds(result, second -> host.workTime(second * 1000) == 1);
        assertTrue(slowCredit < usualCredit - 0.3, slowCredit + " and " + usualCredit + "\n" + result.summary());
    }

    private static double meanCreditOfSeconds(FleetResult result, IntPredicate included) {
        return IntStream.range(0, 20)
                .filter(included)
                .mapToDouble(result::creditOfSecond)
                .average()
                .orElseThrow();
    }

    /** Guards against other results of the scenarios whose hosts are all alike. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hostsOfEqualSpeedChangeNothing(long seed) {
        FleetScenario scenario = SCENARIO.scaledDown(2, 4);
        FleetScenario equalHosts = scenario.withHosts(new HostSpeeds(List.of(1.0, 1.0), 1, 0.5, 600));
        assertEquals(
                FleetModel.simulate(scenario, seed, Set.of()).summary(),
                FleetModel.simulate(equalHosts, seed, Set.of()).summary());
    }

    /** Guards against a scenario in which different and busy hosts don't cause late gaps. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void unevenHostsExceedGapsOfDrafts(long seed) {
        FleetScenario scenario = TargetWorkloads.uneven().scaledDown(3, 8);
        FleetResult uneven = FleetModel.simulate(scenario, seed, Set.of());
        FleetResult nominal = FleetModel.simulate(scenario.withHosts(HostSpeeds.NOMINAL), seed, Set.of());
        assertTrue(
                uneven.kind("draft").lateByGap() > nominal.kind("draft").lateByGap(),
                uneven.summary() + nominal.summary());
    }

    /** Guards against a hot workspace that doesn't send more in its period, or makes the others send more. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void onlyTheHotWorkspaceSendsMore(long seed) {
        FleetScenario scenario =
                FleetScenario.ownParts().withDisturbances(List.of(), List.of()).scaledDown(3, 8);
        FleetResult usual =
                FleetModel.simulate(scenario.withCallers(new Callers(6, 1, Optional.empty(), 0, 0, 0)), seed, Set.of());
        FleetResult hot = FleetModel.simulate(
                scenario.withCallers(new Callers(6, 1, Optional.of(new Callers.HotWorkspace(2, 10, 2, 6)), 0, 0, 0)),
                seed,
                Set.of());
        assertTrue(requestsOf(hot, "w2") > 4 * requestsOf(usual, "w2"), hot.summary() + usual.summary());
        assertTrue(requestsOf(hot, "w2") < 7 * requestsOf(usual, "w2"), hot.summary() + usual.summary());
        assertEquals(1, requestsOf(hot, "w0") / (double) requestsOf(usual, "w0"), 0.25);
        for (FleetResult result : List.of(usual, hot)) {
            int requests =
                    IntStream.range(0, 6).map(i -> requestsOf(result, "w" + i)).sum();
            assertEquals(
                    result.kind("plan").requests() + result.kind("question").requests(), requests, result.summary());
        }
    }

    private static int requestsOf(FleetResult result, String workspace) {
        return result.workspace(workspace, "plan").requests()
                + result.workspace(workspace, "question").requests();
    }

    /** Guards against callers who wait although the scenario says that they repeat at once and often. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void impatientCallersAreRejectedMoreOften(long seed) {
        FleetScenario scenario = TargetWorkloads.crowded().scaledDown(3, 8);
        FleetResult impatient = FleetModel.simulate(scenario, seed, Set.of());
        FleetResult patient = FleetModel.simulate(
                scenario.withCallers(new Callers(24, 1, scenario.callers().hotWorkspace(), 0, 0, 0)), seed, Set.of());
        assertTrue(
                impatient.kind("digest").rejections()
                        > 2 * patient.kind("digest").rejections(),
                impatient.summary() + patient.summary());
    }

    /** Guards against a change of decisions or of the model where a change to other scenarios was meant. */
    @ParameterizedTest
    @CsvSource({
        "many-places, 1, 0.621954231",
        "many-places, 2, 0.596313796",
        "few-places, 1, 0.601954409",
        "few-places, 2, 0.603418387",
        "own-parts, 1, 0.613766680",
        "own-parts, 2, 0.657128735",
    })
    void earlierScenariosKeepTheirResults(String name, long seed, String credit) {
        FleetScenario scenario = Stream.of(
                        FleetScenario.manySlots(), FleetScenario.fewSlots(), FleetScenario.ownParts())
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow()
                .scaledDown(3, 10);
        FleetResult result = FleetModel.simulate(scenario, seed, Set.of());
        assertEquals(credit, String.format(Locale.ROOT, "%.9f", result.credit()), result.summary());
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
