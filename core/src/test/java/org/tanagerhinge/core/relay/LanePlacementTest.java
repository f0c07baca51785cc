package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tanagerhinge.core.relay.RelayFixture.registration;
import static org.tanagerhinge.core.relay.RelayFixture.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which engines long and short prompts go to. */
class LanePlacementTest {
    private static final ServiceConfig ENGINES = ServiceConfig.of("model", 300, 48, 300_000);

    @ParameterizedTest
    @CsvSource({
        // engines, short requests in flight, short and long tokens per second, expected
        "8,  0,   0,     0,      8",
        "8,  50,  15000, 60000,  2",
        "8,  100, 30000, 60000,  3",
        "8,  10,  1000,  60000,  1",
        "2,  500, 90000, 60000,  1",
        "1,  50,  15000, 60000,  1",
    })
    void shortLaneIsAsSmallAsItsDemandAllows(
            int engines, int shortInFlight, double shortTokensPerSecond, double longTokensPerSecond, int expected) {
        assertEquals(
                expected,
                LaneSizing.shortLaneSize(
                        engines,
                        48,
                        new LaneDemand(shortInFlight, shortTokensPerSecond, longTokensPerSecond),
                        42.8,
                        0.35,
                        false));
    }

    /**
     * Guards against a fixed prefill share: the faster a prompt is prefilled and the longer the gap, the more may be
     * prefilled.
     */
    @Test
    void fasterPrefillAndLongerGapsAllowALargerPrefillShare() {
        double slow = LaneSizing.shortPrefillShare(120, 19.3);
        double quick = LaneSizing.shortPrefillShare(150, 11.8);
        assertEquals(0.45, slow, 0.01);
        assertEquals(0.54, quick, 0.01);
        assertTrue(LaneSizing.shortPrefillShare(120, 1) < 0.85);
    }

    private static Prompt prompt(int tokens, String shared) {
        return Prompt.of(tokens, 80, List.of(new PromptPart(shared, tokens / 2), new PromptPart("own" + tokens, 10)));
    }

    /** Guards against event gaps of short streams that are too long because the engine also prefills long prompts. */
    @Test
    void longAndShortPromptsUseSeparateEngines() {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerDirectory directory = ServerDirectory.create();
        List<ServerRegistration> registrations = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            registrations.add(registration("e" + i, false));
        }
        directory.apply(registrations, 0);
        Map<String, Integer> longCounts = new HashMap<>();
        Map<String, Integer> shortCounts = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            boolean isLong = i % 3 == 0;
            PlacementRequest request = new PlacementRequest(
                    route(RouteKind.STREAM, true, 2), ENGINES, prompt(isLong ? 9_000 : 800, "p" + i % 9), "north");
            PlacementPolicy.Decision decision = placement
                    .place(request, directory.available("model"), i * 10L)
                    .orElseThrow();
            decision.server().recordSent(0, decision.tokensToPrefill());
            placement.recordSent(request, decision, i * 10L);
            decision.server().recordPrefill(0, decision.tokensToPrefill());
            decision.server().recordEnd(0);
            placement.recordEnd(request, decision, i * 10L);
            if (i > 30) {
                (isLong ? longCounts : shortCounts).merge(decision.server().id(), 1, Integer::sum);
            }
        }
        for (String id : shortCounts.keySet()) {
            assertFalse(longCounts.containsKey(id), "engine " + id + " got long and short prompts");
        }
    }

    /**
     * Guards against a negative count of short requests in flight: a prompt sent as long may count as short by the
     * time it ends, if the measured prefill rate has risen.
     */
    @Test
    void requestEndsInTheLaneItWasSentInAfterTheMeasuredRateChanged() {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 0);
        PlacementRequest request =
                new PlacementRequest(route(RouteKind.STREAM, true, 2), ENGINES, prompt(2_600, "p"), "north");
        PlacementPolicy.Decision decision =
                placement.place(request, directory.available("model"), 0).orElseThrow();
        placement.recordSent(request, decision, 0);
        PlacementRequest large =
                new PlacementRequest(route(RouteKind.STREAM, true, 2), ENGINES, prompt(18_000, "q"), "north");
        for (int i = 0; i < 20; i++) {
            placement.recordPrefill(large, decision, 90);
        }
        placement.recordEnd(request, decision, 10);
        assertEquals(0, placement.localDemands(10).get("model").shortInFlight());
    }

    /**
     * Guards against an overestimated prefill rate after a restart: cached tokens that the node doesn't know of would
     * count as prefilled, and long prompts as short.
     */
    @Test
    void unknownCacheHitsDoNotInflateThePrefillRate() {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 0);
        placement.updateMinEventGap(200);
        for (int i = 0; i < 40; i++) {
            Prompt prompt = Prompt.of(
                    17_000, 80, List.of(new PromptPart("shared" + i, 13_300), new PromptPart("own" + i, 3_700)));
            PlacementRequest request = new PlacementRequest(route(RouteKind.STREAM, true, 2), ENGINES, prompt, "north");
            PlacementPolicy.Decision decision =
                    placement.place(request, directory.available("model"), 0).orElseThrow();
            assertTrue(decision.longPrompt(), "prompt " + i);
            placement.recordPrefill(request, decision, 50);
        }
    }

    /**
     * Guards against short requests that time out in a full lane while engines of the other lane have free slots, for
     * example after the loss of engines.
     */
    @Test
    void requestsOverflowIntoTheOtherLaneWhenTheirsIsFull() {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 0);
        PlacementRequest longRequest =
                new PlacementRequest(route(RouteKind.STREAM, true, 2), ENGINES, prompt(9_000, "p"), "north");
        PlacementRequest shortRequest =
                new PlacementRequest(route(RouteKind.STREAM, false, 1), ENGINES, prompt(800, "q"), "north");
        placement.recordSent(
                longRequest,
                placement.place(longRequest, directory.available("model"), 0).orElseThrow(),
                0);
        ServerInstance first = placement
                .place(shortRequest, directory.available("model"), 1)
                .orElseThrow()
                .server();
        assertEquals(
                first.id(),
                placement
                        .place(shortRequest, directory.available("model"), 2)
                        .orElseThrow()
                        .server()
                        .id());
        first.updatePeerLoad(RankedLoad.of(48, 0));
        assertNotEquals(
                first.id(),
                placement
                        .place(shortRequest, directory.available("model"), 3)
                        .orElseThrow()
                        .server()
                        .id());
    }

    /**
     * Guards against overflow that stays at the full engine: it has few pending tokens, so the cost of pending tokens
     * elsewhere must not outweigh the lack of a free slot.
     */
    @ParameterizedTest
    @CsvSource({"49, 10, 17258", "55, 14, 26873", "69, 26, 29220", "69, 47, 60000"})
    void requestsOfAFullLaneGoToAnEngineWithAFreeSlot(
            int inFlightInFullLane, int inFlightElsewhere, long pendingTokensElsewhere) {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false), registration("c", false)), 0);
        PlacementRequest longRequest = new PlacementRequest(routeWithPriority(1), ENGINES, prompt(9_000, "p"), "north");
        PlacementRequest shortRequest = new PlacementRequest(routeWithPriority(0), ENGINES, prompt(800, "q"), "north");
        placement.recordSent(
                longRequest,
                placement.place(longRequest, directory.available("model"), 0).orElseThrow(),
                0);
        ServerInstance shortLane = placement
                .place(shortRequest, directory.available("model"), 1)
                .orElseThrow()
                .server();
        shortLane.updatePeerLoad(RankedLoad.of(inFlightInFullLane, 9_000));
        for (ServerInstance other : directory.available("model")) {
            if (other != shortLane) {
                other.updatePeerLoad(RankedLoad.of(inFlightElsewhere, pendingTokensElsewhere));
            }
        }
        for (int i = 0; i < 6; i++) {
            ServerInstance chosen = placement
                    .place(shortRequest, directory.available("model"), 2 + i)
                    .orElseThrow()
                    .server();
            assertNotEquals(shortLane.id(), chosen.id());
        }
    }

    /** Guards against long prompts of a less urgent rank that fill the short lane too once their own lane is full. */
    @ParameterizedTest
    @CsvSource({"2, false", "0, true", "1, true"})
    void lessUrgentLongPromptsStayInTheirFullLane(int longRank, boolean overflows) {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 0);
        PlacementRequest longRequest =
                new PlacementRequest(routeWithPriority(longRank), ENGINES, prompt(9_000, "p"), "north");
        PlacementRequest shortRequest = new PlacementRequest(routeWithPriority(1), ENGINES, prompt(800, "q"), "north");
        PlacementPolicy.Decision first =
                placement.place(longRequest, directory.available("model"), 0).orElseThrow();
        placement.recordSent(longRequest, first, 0);
        PlacementPolicy.Decision second =
                placement.place(shortRequest, directory.available("model"), 1).orElseThrow();
        placement.recordSent(shortRequest, second, 1);
        ServerInstance longLane = placement
                .place(longRequest, directory.available("model"), 2)
                .orElseThrow()
                .server();
        longLane.updatePeerLoad(RankedLoad.of(60, 0));
        PlacementRequest another =
                new PlacementRequest(routeWithPriority(longRank), ENGINES, prompt(9_000, "r"), "north");
        ServerInstance chosen = placement
                .place(another, directory.available("model"), 3)
                .orElseThrow()
                .server();
        assertEquals(overflows, chosen != longLane);
    }

    private static Route routeWithPriority(int priority) {
        List<WeightedService> shares = List.of(new WeightedService("model", 1));
        return new Route("r", "h", "/", RouteKind.STREAM, true, shares, 2, 5_000, 300, 120, priority, false, true);
    }

    @Test
    void promptFollowsItsCachedPartsUnlessThatEngineIsOverloaded() {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false), registration("c", false)), 0);
        PlacementRequest request =
                new PlacementRequest(route(RouteKind.STREAM, true, 2), ENGINES, prompt(9_000, "p"), "north");
        PlacementPolicy.Decision first =
                placement.place(request, directory.available("model"), 0).orElseThrow();
        placement.recordSent(request, first, 0);
        PlacementPolicy.Decision second =
                placement.place(request, directory.available("model"), 10).orElseThrow();
        assertEquals(first.server().id(), second.server().id());
        assertTrue(second.tokensToPrefill() < first.tokensToPrefill());
        first.server().updatePeerLoad(RankedLoad.of(0, 50_000));
        PlacementPolicy.Decision third =
                placement.place(request, directory.available("model"), 20).orElseThrow();
        assertNotEquals(first.server().id(), third.server().id());
    }

    @Test
    void leastRecentlyUsedPartsAreEvictedBeyondTheCapacity() {
        PrefixCacheTracker caches = PrefixCacheTracker.create();
        Prompt old = Prompt.of(600, 1, List.of(new PromptPart("a", 600)));
        Prompt recent = Prompt.of(500, 1, List.of(new PromptPart("b", 500)));
        caches.recordSent("e", old.parts(), 1_000, 0);
        assertEquals(600, caches.cachedTokens("e", old));
        caches.recordSent("e", recent.parts(), 1_000, 0);
        assertEquals(0, caches.cachedTokens("e", old));
        assertEquals(500, caches.cachedTokens("e", recent));
        assertEquals(0, caches.cachedTokens("other", recent));
    }
}
