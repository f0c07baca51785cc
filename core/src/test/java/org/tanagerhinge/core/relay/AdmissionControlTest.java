package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests are rejected under overload, and when their callers should retry. */
class AdmissionControlTest {
    private static Route route(String name, long targetMillis, int priority) {
        List<WeightedService> shares = List.of(new WeightedService("model", 1));
        return new Route(
                name,
                "h",
                "/" + name + "/",
                RouteKind.STREAM,
                true,
                shares,
                2,
                8_000,
                targetMillis,
                800,
                priority,
                true,
                true);
    }

    /**
     * Guards against overload by long prompts of the least urgent rank: without rejection, engines prefill prompts
     * whose callers have left, and more urgent requests are late as well.
     */
    @ParameterizedTest
    @CsvSource({
        // expected wait, time left, rejected
        "0,     8000, false",
        "900,   8000, false",
        "1000,  8000, true",
        "5000,  8000, true",
        // little time left counts as a retry, which may wait longer
        "1000,  7000, false",
        "1400,  7000, false",
        "1500,  7000, true",
    })
    void rejectsRequestsThatCannotStartInTime(double expectedWaitMillis, long timeLeftMillis, boolean rejected) {
        assertEquals(
                rejected,
                AdmissionControl.retryAfterMillis(route("r", 1_200, 2), expectedWaitMillis, timeLeftMillis, () -> 0.5)
                        .isPresent());
    }

    @Test
    void acceptsAllRequestsOfARouteWithoutTarget() {
        assertEquals(
                OptionalLong.empty(), AdmissionControl.retryAfterMillis(route("r", 0, 2), 60_000, 8_000, () -> 0.5));
    }

    /** Guards against callers that are rejected together and retry together, which would be the next burst. */
    @ParameterizedTest
    @CsvSource({"1000, 8000", "3000, 8000", "20000, 8000", "20000, 900", "20000, 1"})
    void spreadsRetryAfterWithinAThirdOfTheTimeLeft(double expectedWaitMillis, long timeLeftMillis) {
        Route route = route("r", 1_200, 2);
        long minRetryAfterMillis = AdmissionControl.retryAfterMillis(route, expectedWaitMillis, timeLeftMillis, () -> 0)
                .orElseThrow();
        long maxRetryAfterMillis = AdmissionControl.retryAfterMillis(route, expectedWaitMillis, timeLeftMillis, () -> 1)
                .orElseThrow();
        assertTrue(
                minRetryAfterMillis >= Math.min(300, Math.max(1, timeLeftMillis / 3)),
                "minimum " + minRetryAfterMillis);
        assertTrue(maxRetryAfterMillis <= Math.max(1, timeLeftMillis / 3), "maximum " + maxRetryAfterMillis);
        assertTrue(
                maxRetryAfterMillis > minRetryAfterMillis || maxRetryAfterMillis >= timeLeftMillis / 3,
                minRetryAfterMillis + " to " + maxRetryAfterMillis);
    }

    /** Guards against rejections by a node that has just started, whose assumed prefill rate may be far too low. */
    @Test
    void expectsNoWaitUntilThePrefillRateIsMeasured() {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerInstance engine = ServerInstance.of(new ServerRegistration(
                "a", 0, "v1", "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false));
        engine.updatePeerLoad(RankedLoad.of(3, 100_000));
        Prompt prompt = Prompt.of(9_000, 80, List.of(new PromptPart("own", 9_000)));
        PlacementRequest request =
                new PlacementRequest(route("r", 600, 1), ServiceConfig.of("model", 300, 48, 300_000), prompt, "north");
        PlacementPolicy.Decision first =
                placement.place(request, List.of(engine), 0).orElseThrow();
        assertEquals(0, first.expectedWaitMillis());
        for (int i = 0; i < 5; i++) {
            placement.recordPrefill(request, first, 200);
        }
        assertTrue(placement.place(request, List.of(engine), 0).orElseThrow().expectedWaitMillis() > 1_000);
    }

    @ParameterizedTest
    @CsvSource({
        // priority of the route and of the workspace (-1: none), whether the rank is the least urgent
        "0, -1, false",
        "1, -1, false",
        "2, -1, true",
        "2, 0,  false",
        "2, 1,  true",
        "0, 1,  false",
    })
    void onlyTheLeastUrgentRankMayBeRejected(int routePriority, int workspacePriority, boolean expected) {
        List<Route> routes = List.of(route("a", 300, 0), route("b", 300, 1), route("c", 300, 2));
        Map<String, WorkspaceConfig> workspaces = workspacePriority < 0
                ? Map.of()
                : Map.of(
                        "k0", new WorkspaceConfig("w0", OptionalInt.of(0)),
                        "k1", new WorkspaceConfig("w1", OptionalInt.of(1)));
        RelayConfig config = RelayConfig.of(
                1, routes, List.of(ServiceConfig.of("model", 300, 48, 300_000)), workspaces, CallerLimits.DEFAULT);
        Optional<WorkspaceConfig> workspace =
                workspacePriority < 0 ? Optional.empty() : config.workspace("k" + workspacePriority);
        assertEquals(expected, config.isLeastUrgent(workspace, routes.get(routePriority), "model"));
    }
}
