package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the order of the checks of admission, and when shares take part in them. */
class AdmissionPolicyTest {
    private static final long NOW_MILLIS = 3_000;
    private static final double LATE_MILLIS = 60_000;
    private static final WorkspaceConfig HOT = new WorkspaceConfig("hot", OptionalInt.empty());
    private static final WorkspaceConfig SMALL = new WorkspaceConfig("small", OptionalInt.empty());
    private static final Map<String, WorkspaceConfig> WORKSPACES = Map.of("k1", HOT, "k2", SMALL);

    private final ServerInstance server = ServerInstance.of(
            new ServerRegistration("a", 0, "v1", "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false));

    private static Route route() {
        return new Route(
                "r",
                "h",
                "/",
                RouteKind.STREAM,
                true,
                List.of(new WeightedService("model", 1)),
                2,
                8_000,
                300,
                800,
                1,
                false,
                true);
    }

    private static AdmissionPolicy.Request request(Map<String, WorkspaceConfig> workspaces, WorkspaceConfig workspace) {
        ServiceConfig service = ServiceConfig.of("model", 300, 48, 300_000);
        RelayConfig config = RelayConfig.of(1, List.of(route()), List.of(service), workspaces, CallerLimits.DEFAULT);
        PlacementRequest placement = new PlacementRequest(route(), service, Prompt.of(1_000, 10, List.of()), "north");
        return new AdmissionPolicy.Request(config, placement, Optional.of(workspace), 8_000);
    }

    private PlacementPolicy.Decision decision(double expectedWaitMillis) {
        return decision(expectedWaitMillis, 0);
    }

    private PlacementPolicy.Decision decision(double expectedWaitMillis, double prefillMillis) {
        return new PlacementPolicy.Decision(
                server, 1_000, 0, false, expectedWaitMillis, prefillMillis, Optional.empty());
    }

    /** Returns a policy that has refused nine tenths of the hot workspace's requests as late until now. */
    private AdmissionPolicy shortOfCapacity(Map<String, WorkspaceConfig> workspaces) {
        AdmissionPolicy policy = AdmissionPolicy.without(Set.of());
        for (long millis = NOW_MILLIS - 2_000; millis < NOW_MILLIS; millis += 10) {
            double waitMillis = millis % 100 == 0 ? 0 : LATE_MILLIS;
            policy.rejection(request(workspaces, HOT), decision(waitMillis), millis, () -> 0);
            if (millis % 100 == 0) {
                policy.rejection(request(workspaces, SMALL), decision(0), millis, () -> 0);
            }
        }
        return policy;
    }

    private static Optional<AdmissionPolicy.Reason> reason(Optional<AdmissionPolicy.Rejection> rejection) {
        return rejection.map(AdmissionPolicy.Rejection::reason);
    }

    /** Guards against a share that is checked before the rank, or after the expected wait. */
    @Test
    void checksRankThenShareThenExpectedWait() {
        AdmissionPolicy policy = shortOfCapacity(WORKSPACES);
        AdmissionPolicy.Request hot = request(WORKSPACES, HOT);
        Optional<AdmissionPolicy.Rejection> byShare =
                policy.rejection(hot, decision(LATE_MILLIS), NOW_MILLIS, () -> 0.99);
        assertEquals(Optional.of(AdmissionPolicy.Reason.OVER_SHARE), reason(byShare));
        assertEquals("hot", byShare.orElseThrow().excess().orElseThrow().workspace());
        assertTrue(byShare.orElseThrow().retryAfterMillis() >= 300);
        assertEquals(
                Optional.of(AdmissionPolicy.Reason.EXPECTED_LATE),
                reason(policy.rejection(request(WORKSPACES, SMALL), decision(LATE_MILLIS), NOW_MILLIS, () -> 0.99)));
        for (int i = 0; i < 2; i++) {
            policy.rankGate().recordSent(RankGate.PendingRequest.of(server.instanceId(), -1, 0));
        }
        assertEquals(
                Optional.of(AdmissionPolicy.Reason.YIELDS_TO_URGENT),
                reason(policy.rejection(hot, decision(LATE_MILLIS), NOW_MILLIS, () -> 0.99)));
    }

    /** Guards against engines that idle while a workspace over its share is refused, or against no refusal at all. */
    @ParameterizedTest
    @CsvSource({"0, false", "0.4, false", "0.95, true"})
    void workspaceOverItsShareIsRefusedWhereTheQueueIsLong(double queueShare, boolean refused) {
        AdmissionPolicy policy = shortOfCapacity(WORKSPACES);
        double waitMillis = queueShare * AdmissionControl.maxWaitMillis(route());
        assertEquals(
                refused,
                policy.rejection(request(WORKSPACES, HOT), decision(waitMillis), NOW_MILLIS, () -> 0.99)
                        .isPresent());
        assertEquals(
                Optional.empty(),
                policy.rejection(request(WORKSPACES, SMALL), decision(waitMillis), NOW_MILLIS, () -> 0.99));
    }

    /** Guards against shares in a deployment without workspaces, also where the queue is long. */
    @Test
    void sharesNeedWorkspaces() {
        AdmissionPolicy policy = shortOfCapacity(Map.of());
        double waitMillis = 0.95 * AdmissionControl.maxWaitMillis(route());
        assertEquals(
                Optional.empty(),
                policy.rejection(request(Map.of(), HOT), decision(waitMillis), NOW_MILLIS, () -> 0.99));
        assertEquals(List.of(), policy.shares().nextReport(22, NOW_MILLIS));
    }

    /** Guards against a workspace whose every request is refused because others keep the queue long. */
    @Test
    void minimumFractionIsAdmittedWhateverTheQueue() {
        AdmissionPolicy policy = shortOfCapacity(WORKSPACES);
        double waitMillis = 0.99 * AdmissionControl.maxWaitMillis(route());
        assertEquals(
                Optional.empty(),
                policy.rejection(request(WORKSPACES, HOT), decision(waitMillis), NOW_MILLIS, () -> 0.01));
    }

    /** Guards against a prompt too long for any engine that counts as a shortage and has others refused. */
    @ParameterizedTest
    @CsvSource({"0, false", "700, true"})
    void promptThatIsLateByItsOwnPrefillIsNoSign(double queueMillis, boolean sign) {
        AdmissionPolicy policy = AdmissionPolicy.without(Set.of());
        double maxWaitMillis = AdmissionControl.maxWaitMillis(route());
        double prefillMillis = sign ? 0.5 * maxWaitMillis : 2 * maxWaitMillis;
        policy.rejection(request(WORKSPACES, HOT), decision(queueMillis + prefillMillis, prefillMillis), 0, () -> 0.99);
        assertEquals(sign, policy.shares().isShort("model", 0));
    }

    /** Guards against a long prompt for which any queue counts as too long, refused by share at idle engines. */
    @ParameterizedTest
    @CsvSource({"0.99, 0.1", "1.1, 0.1", "3, 0"})
    void longPromptIsNotRefusedByShareAtAShortQueue(double prefillShare, double queueShare) {
        AdmissionPolicy policy = shortOfCapacity(WORKSPACES);
        double maxWaitMillis = AdmissionControl.maxWaitMillis(route());
        PlacementPolicy.Decision decision =
                decision((prefillShare + queueShare) * maxWaitMillis, prefillShare * maxWaitMillis);
        assertEquals(
                Optional.of(AdmissionPolicy.Reason.EXPECTED_LATE),
                reason(policy.rejection(request(WORKSPACES, HOT), decision, NOW_MILLIS, () -> 0.99)));
    }

    /** Guards against shares that can't be disabled for a comparison. */
    @Test
    void experimentsCanDisableShares() {
        AdmissionPolicy policy = AdmissionPolicy.without(Set.of(Mechanism.WORKSPACE_SHARES));
        assertTrue(!policy.sharesApply(request(WORKSPACES, HOT)));
    }

    /** Guards against work at plain servers that doesn't follow their response times. */
    @Test
    void workAtPlainServersIsTheMeanResponseTime() {
        AdmissionPolicy policy = AdmissionPolicy.without(Set.of());
        ServiceConfig plain = ServiceConfig.of("model", 300, 0, 0);
        RelayConfig config = RelayConfig.of(1, List.of(route()), List.of(plain), WORKSPACES, CallerLimits.DEFAULT);
        AdmissionPolicy.Request request = new AdmissionPolicy.Request(
                config, new PlacementRequest(route(), plain, Prompt.NONE, "north"), Optional.of(HOT), 8_000);
        policy.responseTimes().record(route(), 40);
        assertEquals(40, policy.ask(request, 0).work());
        assertEquals(1_100, policy.ask(request(WORKSPACES, HOT), 1_000).work());
    }
}
