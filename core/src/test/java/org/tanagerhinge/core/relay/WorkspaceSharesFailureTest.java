package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.relay.ShareSimulation.End;
import org.tanagerhinge.core.relay.ShareSimulation.Load;
import org.tanagerhinge.core.relay.ShareSimulation.Network;
import org.tanagerhinge.core.relay.ShareSimulation.Outcome;

/** Tests workspace shares while peers are silent or late, and when a gateway has just started. */
class WorkspaceSharesFailureTest {
    private static final WorkspaceShares.Ask HOT = new WorkspaceShares.Ask("model", 0, true, "hot", 100);
    private static final WorkspaceShares.Ask SMALL = new WorkspaceShares.Ask("model", 0, true, "small", 100);

    private static double served(List<Outcome> outcomes, String workspacePrefix) {
        List<Outcome> own = outcomes.stream()
                .filter(outcome -> outcome.atMillis() > 4_000)
                .filter(outcome -> outcome.ask().workspace().startsWith(workspacePrefix))
                .toList();
        return own.stream().filter(outcome -> outcome.end() == End.SERVED).count() / (double) own.size();
    }

    /**
     * Guards against gateways that refuse too much, or protect nobody, when they hear nothing or little of each other.
     */
    @ParameterizedTest
    @CsvSource({"0, 1, true", "4000, 0, false", "6000, 0.5, false"})
    void localViewProtectsSmallWorkspacesAndUsesCapacity(long maxDelayMillis, double loss, boolean silent) {
        List<Load> loads = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            loads.add(Load.of("small-" + i, 10));
        }
        loads.add(Load.of("hot", 200));
        double capacity = 25_000;
        Network network = new Network(maxDelayMillis, loss, silent);
        List<Outcome> outcomes = ShareSimulation.run(7, 5, capacity, network, loads, 20_000);
        assertTrue(served(outcomes, "small") > 0.85, "small workspaces served " + served(outcomes, "small"));
        double work = 100.0
                * outcomes.stream()
                        .filter(outcome -> outcome.atMillis() > 4_000 && outcome.end() == End.SERVED)
                        .count()
                / 16;
        assertTrue(work > 0.95 * capacity, "served work " + work);
    }

    /** Sends the requests of two seconds to a gateway that admits every fifth of the hot workspace's. */
    private static WorkspaceShares shortGateway() {
        WorkspaceShares shares = WorkspaceShares.create();
        for (long millis = 0; millis < 2_000; millis += 10) {
            shares.recordAsked(HOT, millis);
            if (millis % 50 == 0) {
                shares.recordAsked(SMALL, millis);
                shares.recordAdmitted(SMALL, millis);
                shares.recordAdmitted(HOT, millis);
            }
        }
        shares.recordShort("model", 2_000);
        return shares;
    }

    private static WorkspaceUses peerUses(WorkspaceShares.Ask ask, double asked, double admitted) {
        return new WorkspaceUses(
                "model",
                ask.rank(),
                new WorkRate(asked / 100, admitted / 100),
                WorkRate.NONE,
                OptionalLong.empty(),
                Map.of(ask.workspace().hashCode(), new WorkRate(asked, admitted)));
    }

    /** Guards against decisions by figures of peers that have fallen silent. */
    @Test
    void peersFiguresCountForFiveSeconds() {
        for (long receivedAtMillis : List.of(-2_700L, -3_300L)) {
            WorkspaceShares shares = shortGateway();
            shares.accept("peer", List.of(peerUses(HOT, 100_000, 0)), receivedAtMillis);
            WorkspaceShares.Excess excess =
                    shares.excess(HOT, 1, 2_000, () -> 0.999).orElseThrow();
            boolean valid = receivedAtMillis == -2_700L;
            assertEquals(valid, excess.use() > 100_000, "use " + excess.use());
            assertEquals(valid ? 4_700 : -1, excess.peerFiguresAgeMillis());
        }
    }

    /** Guards against a gateway that refuses before it has any figures. */
    @Test
    void startedGatewayRefusesNothing() {
        WorkspaceShares shares = WorkspaceShares.create();
        shares.recordAsked(HOT, 0);
        shares.recordAsked(SMALL, 0);
        shares.recordShort("model", 0);
        assertTrue(shares.excess(HOT, 1, 1, () -> 0.999).isEmpty());
    }

    /** Guards against a gateway that has just started and lets a workspace through which its peers limit. */
    @Test
    void startedGatewayUsesPeersFigures() {
        WorkspaceShares shares = WorkspaceShares.create();
        shares.recordAsked(HOT, 0);
        shares.recordShort("model", 0);
        shares.accept("peer", List.of(peerUses(HOT, 100_000, 20_000), peerUses(SMALL, 5_000, 5_000)), 0);
        assertTrue(shares.excess(HOT, 1, 1, () -> 0.999).isPresent());
    }

    /** Guards against a peer of the previous version, which reports no figures, that counts as one without load. */
    @Test
    void peerWithoutFiguresChangesNothing() {
        WorkspaceShares shares = shortGateway();
        shares.accept("peer", List.of(), 1_900);
        assertEquals(shortGateway().excess(HOT, 1, 2_000, () -> 0.999), shares.excess(HOT, 1, 2_000, () -> 0.999));
        assertEquals(0, shares.peerFigureCount());
    }

    /** Guards against a shortage that gateways keep alive by repeating each other's signs. */
    @Test
    void signsOfPeersAreNotRepeated() {
        WorkspaceShares seeing = shortGateway();
        WorkspaceShares hearing = WorkspaceShares.create();
        hearing.recordAsked(HOT, 2_000);
        hearing.recordAdmitted(HOT, 2_000);
        hearing.recordReturned(HOT, 2_400);
        List<WorkspaceUses> report = seeing.nextReport(1, 2_400);
        assertEquals(OptionalLong.of(400), report.getFirst().shortAgeMillis());
        hearing.accept("seeing", report, 2_400);
        assertTrue(hearing.isShort("model", 3_000));
        assertTrue(!hearing.isShort("model", 3_001));
        List<WorkspaceUses> repeated = hearing.nextReport(1, 2_500);
        assertEquals(1, repeated.size());
        assertEquals(OptionalLong.empty(), repeated.getFirst().shortAgeMillis());
    }

    /** Guards against refusals of urgent requests, whether less urgent ones are known or not. */
    @Test
    void urgentRequestsAreNotRefusedWhateverIsKnownOfLessUrgentOnes() {
        WorkspaceShares shares = shortGateway();
        WorkspaceShares.Ask urgent = new WorkspaceShares.Ask("model", 0, false, "hot", 100);
        assertTrue(shares.excess(urgent, 1, 2_000, () -> 0.999).isEmpty());
        for (int i = 0; i < 20; i++) {
            shares.recordAsked(new WorkspaceShares.Ask("model", 1, true, "other", 100), 2_000);
        }
        assertTrue(shares.excess(urgent, 1, 2_000, () -> 0.999).isEmpty());
    }

    /** Guards against one peer with wrong figures that has the requests of all workspaces refused here. */
    @ParameterizedTest
    @ValueSource(doubles = {1e6, 1e12, Double.POSITIVE_INFINITY, Double.NaN})
    void hugeFiguresOfAPeerDoNotShutOthersOut(double huge) {
        for (WorkRate rate : List.of(new WorkRate(huge, 0), new WorkRate(0, huge), new WorkRate(huge, huge))) {
            WorkspaceShares shares = shortGateway();
            WorkspaceUses uses =
                    new WorkspaceUses("model", 0, rate, rate, OptionalLong.of(0), Map.of("unknown".hashCode(), rate));
            shares.accept("peer", List.of(uses), 1_900);
            assertTrue(shares.excess(SMALL, 1, 2_000, () -> 0.999).isEmpty(), "small refused by " + rate);
        }
    }

    /** Guards against a peer whose signs have requests refused at a node that admits all of them. */
    @Test
    void signsOfPeersDoNotCountWhereEverythingIsAdmitted() {
        WorkspaceShares shares = WorkspaceShares.create();
        for (long millis = 0; millis < 2_000; millis += 10) {
            for (WorkspaceShares.Ask ask : List.of(HOT, SMALL)) {
                shares.recordAsked(ask, millis);
                shares.recordAdmitted(ask, millis);
            }
        }
        WorkspaceUses sign = new WorkspaceUses(
                "model", 0, WorkRate.NONE, new WorkRate(1e9, 0), OptionalLong.of(0), Map.of(1, new WorkRate(1e9, 0)));
        shares.accept("peer", List.of(sign), 2_000);
        assertTrue(!shares.isShort("model", 2_000));
        assertTrue(shares.excess(HOT, 1, 2_000, () -> 0.999).isEmpty());
    }

    /** Guards against reports without a shortage, which would change the messages of every deployment. */
    @Test
    void reportsNothingWithoutShortage() {
        WorkspaceShares shares = WorkspaceShares.create();
        shares.recordAsked(HOT, 0);
        shares.recordAdmitted(HOT, 0);
        assertEquals(List.of(), shares.nextReport(22, 100));
        assertTrue(!shortGateway().nextReport(22, 7_000).isEmpty());
        assertEquals(List.of(), shortGateway().nextReport(22, 7_001));
    }

    /** Guards against figures of peers that fill the memory. */
    @Test
    void figuresOfAPeerAreBounded() {
        WorkspaceShares shares = shortGateway();
        for (int i = 0; i < 10_000; i++) {
            WorkspaceShares.Ask ask = new WorkspaceShares.Ask("model", 0, true, "w" + i, 1);
            shares.accept("peer", List.of(peerUses(ask, 10, 10)), 2_000);
        }
        assertEquals(PeerUses.MAX_FIGURES_PER_PEER, shares.peerFigureCount());
        shares.nextReport(1, 9_000);
        assertEquals(0, shares.peerFigureCount());
    }
}
