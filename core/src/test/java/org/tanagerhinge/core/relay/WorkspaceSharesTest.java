package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.relay.ShareSimulation.End;
import org.tanagerhinge.core.relay.ShareSimulation.Load;
import org.tanagerhinge.core.relay.ShareSimulation.Network;
import org.tanagerhinge.core.relay.ShareSimulation.Outcome;

/** Tests how a service that is short of capacity is shared between workspaces under load. */
class WorkspaceSharesTest {
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long RUN_MILLIS = 20_000;

    /** Returns 20 workspaces of 10 requests per second, and a hot one of ten times that. */
    private static List<Load> oneHotWorkspace(double hotSkew) {
        List<Load> loads = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            loads.add(Load.of("small-" + i, 10));
        }
        loads.add(new Load("hot", 0, 100, 100, 100, hotSkew, 0));
        return loads;
    }

    private static double fraction(List<Outcome> outcomes, String workspacePrefix, End end) {
        List<Outcome> own = outcomes.stream()
                .filter(outcome -> outcome.atMillis() > WARM_UP_MILLIS)
                .filter(outcome -> outcome.ask().workspace().startsWith(workspacePrefix))
                .toList();
        return own.stream().filter(outcome -> outcome.end() == end).count() / (double) own.size();
    }

    private static double servedWorkPerSecond(List<Outcome> outcomes) {
        return outcomes.stream()
                        .filter(outcome -> outcome.atMillis() > WARM_UP_MILLIS && outcome.end() == End.SERVED)
                        .mapToDouble(outcome -> outcome.ask().work())
                        .sum()
                * 1_000
                / (RUN_MILLIS - WARM_UP_MILLIS);
    }

    /**
     * Guards against one workspace that displaces all others when it sends ten times its usual load; the service has
     * capacity for the small ones and a quarter of the hot one.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.5, 1})
    void hotWorkspaceGetsWhatTheOthersLeave(double hotSkew) {
        double capacity = 22_500;
        List<Outcome> outcomes =
                ShareSimulation.run(1, 5, capacity, Network.GOOD, oneHotWorkspace(hotSkew), RUN_MILLIS);
        double small = fraction(outcomes, "small", End.SERVED);
        double hot = fraction(outcomes, "hot", End.SERVED);
        assertTrue(small > 0.9, "small workspaces served " + small);
        assertTrue(hot > 0.2 && hot < 0.5, "hot workspace served " + hot);
        double served = servedWorkPerSecond(outcomes);
        assertTrue(served > 0.95 * capacity, "capacity left unused: " + served + " of " + capacity);
        assertTrue(fraction(outcomes, "small", End.OVER_SHARE) < 0.005, "small workspaces refused by share");
    }

    /** Guards against shares that take effect late after a long time without a shortage. */
    @Test
    void hotWorkspaceIsLimitedWithinThreeSecondsAfterALongCalm() {
        List<Load> loads = new ArrayList<>(oneHotWorkspace(0.5));
        loads.remove(20);
        loads.add(new Load("hot", 0, 100, 100, 100, 0.5, 15_000));
        List<Outcome> burst = ShareSimulation.run(5, 5, 22_500, Network.GOOD, loads, RUN_MILLIS).stream()
                .filter(outcome -> outcome.atMillis() > 18_000)
                .toList();
        double small = fraction(burst, "small", End.SERVED);
        assertTrue(small > 0.88, "small workspaces served " + small);
    }

    /** Guards against refusals that no shortage justifies. */
    @Test
    void refusesNothingWhileThereIsCapacity() {
        List<Outcome> outcomes = ShareSimulation.run(2, 5, 33_000, Network.GOOD, oneHotWorkspace(0.5), RUN_MILLIS);
        assertEquals(0, fraction(outcomes, "", End.OVER_SHARE));
    }

    /** Guards against refusals that free capacity for nobody. */
    @Test
    void onlyWorkspaceOfAServiceIsNeverOverItsShare() {
        List<Outcome> outcomes =
                ShareSimulation.run(3, 3, 2_000, Network.GOOD, List.of(Load.of("only", 100)), RUN_MILLIS);
        assertEquals(0, fraction(outcomes, "only", End.OVER_SHARE));
    }

    /** Guards against a refusal by share of an urgent request, whether less urgent ones are sent or not. */
    @ParameterizedTest
    @ValueSource(doubles = {31_000, 15_000})
    void urgentRequestsAreNeverRefusedByShare(double capacity) {
        List<Load> loads = new ArrayList<>(oneHotWorkspace(0.5));
        loads.add(new Load("background", 1, 30, 100, 100, 0, 0));
        loads.add(new Load("other", 1, 5, 100, 100, 0, 0));
        List<Outcome> outcomes = ShareSimulation.run(4, 5, capacity, Network.GOOD, loads, RUN_MILLIS);
        assertTrue(fraction(outcomes, "background", End.SERVICE_FULL) > 0.1, "the service was not short");
        assertEquals(0, fraction(outcomes, "hot", End.OVER_SHARE));
        assertEquals(0, fraction(outcomes, "small", End.OVER_SHARE));
    }

    /** Guards against refusals that go on after a shortage has ended. */
    @Test
    void refusesNothingASecondAfterTheLastSign() {
        WorkspaceShares shares = WorkspaceShares.create();
        WorkspaceShares.Ask hot = new WorkspaceShares.Ask("model", 0, true, "hot", 1_000);
        WorkspaceShares.Ask small = new WorkspaceShares.Ask("model", 0, true, "small", 10);
        for (long millis = 0; millis < 2_000; millis += 10) {
            shares.recordAsked(hot, millis);
            shares.recordAsked(small, millis);
            shares.recordAdmitted(small, millis);
            if (millis % 50 == 0) {
                shares.recordAdmitted(hot, millis);
            }
        }
        shares.recordShort("model", 2_000);
        assertTrue(shares.excess(hot, 1, 3_000, () -> 0.99).isPresent());
        assertTrue(shares.excess(small, 1, 3_000, () -> 0.99).isEmpty());
        assertTrue(shares.excess(hot, 1, 3_001, () -> 0.99).isEmpty());
    }

    /** Guards against a headroom that grows between shortages and lets a hot workspace through in the next one. */
    @Test
    void headroomDoesNotGrowWithoutShortage() {
        double calm = levelAfter(false);
        double reporting = levelAfter(true);
        assertEquals(calm, reporting, 0.01 * calm);
    }

    /** Returns the level 4 s after a sign, with or without reports in the meantime. */
    private static double levelAfter(boolean reports) {
        WorkspaceShares shares = WorkspaceShares.create();
        WorkspaceShares.Ask hot = new WorkspaceShares.Ask("model", 0, true, "hot", 1_000);
        WorkspaceShares.Ask small = new WorkspaceShares.Ask("model", 0, true, "small", 10);
        shares.recordShort("model", 0);
        for (long millis = 0; millis < 4_000; millis += 10) {
            for (WorkspaceShares.Ask ask : List.of(hot, small)) {
                shares.recordAsked(ask, millis);
                shares.excess(ask, 1, millis, () -> 0);
                shares.recordAdmitted(ask, millis);
            }
            if (reports && millis % 250 == 0) {
                shares.nextReport(1, millis);
            }
        }
        shares.recordShort("model", 4_000);
        for (int i = 0; i < 400; i++) {
            shares.recordAsked(hot, 4_250);
        }
        return shares.excess(hot, 1, 4_250, () -> 0.999).orElseThrow().share();
    }

    /** Guards against shares of one service that depend on the shortage of another. */
    @Test
    void shortageOfOneServiceDoesNotConcernAnother() {
        WorkspaceShares shares = WorkspaceShares.create();
        shares.recordShort("model", 0);
        assertTrue(shares.isShort("model", 0));
        assertTrue(!shares.isShort("plain", 0));
    }

    /** Guards against memory that grows with the number of workspaces ever seen. */
    @Test
    void forgetsWorkspacesThatSendNothing() {
        WorkMeter meter = WorkMeter.create(0);
        for (int i = 1; i <= 2 * WorkMeter.MAX_WORKSPACES; i++) {
            meter.recordAsked(i, 100, 0);
        }
        assertEquals(WorkMeter.MAX_WORKSPACES + 1, meter.rates(0).size());
        assertEquals(0, meter.rates(60_000).size());
    }

    /** Guards against a level that misses the capacity. */
    @Test
    void levelDividesCapacityMaxMin() {
        List<WorkRate> demands = List.of(new WorkRate(10, 0), new WorkRate(100, 0), new WorkRate(1_000, 0));
        assertEquals(95, ShareLevel.of(demands, 200, 0), 0.01);
        assertEquals(60, ShareLevel.of(demands, 130, 0), 0.01);
        assertEquals(Double.POSITIVE_INFINITY, ShareLevel.of(demands, 1_110, 0));
        assertEquals(50, ShareLevel.of(demands, 260, 0.2), 0.01);
    }
}
