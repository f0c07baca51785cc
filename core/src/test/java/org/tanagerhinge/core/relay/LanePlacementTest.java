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

/** Which engines long and short prompts go to. */
class LanePlacementTest {
    private static final ServiceConfig ENGINES = ServiceConfig.of("model", 300, 48, 300_000);

    @ParameterizedTest
    @CsvSource({
        // engines, short requests running, short and long tokens a second, expected
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

    /** Load: short prompts that arrive by chance beside streams; the quicker each is read, the more may be read in all. */
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

    /**
     * Symptom: streams of short prompts paused too long. Events: long prompts come beside them. Cause: an engine that
     * reads a long prompt makes its other streams wait for each piece of it.
     */
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
            PlacementPolicy.Decision placed = placement
                    .place(request, directory.available("model"), i * 10L)
                    .orElseThrow();
            placed.server().recordSent(placed.tokensToPrefill());
            placement.recordSent(request, placed, i * 10L);
            placed.server().recordPrefill(placed.tokensToPrefill());
            placed.server().recordEnd();
            placement.recordEnd(request, placed, i * 10L);
            if (i > 30) {
                (isLong ? longCounts : shortCounts).merge(placed.server().id(), 1, Integer::sum);
            }
        }
        for (String id : shortCounts.keySet()) {
            assertFalse(longCounts.containsKey(id), "engine " + id + " has both");
        }
    }

    /**
     * Symptom: the count of short requests in progress fell below none, and the short lane was too small. Events: a
     * prompt is sent as a long one; faster reading is measured; it ends, and is a short one by the new speed. Cause: an
     * ended request was judged anew.
     */
    @Test
    void requestEndsInTheLaneItWasSentInAfterTheMeasuredRateChanged() {
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("a", false), registration("b", false)), 0);
        PlacementRequest request =
                new PlacementRequest(route(RouteKind.STREAM, true, 2), ENGINES, prompt(2_600, "p"), "north");
        PlacementPolicy.Decision placed =
                placement.place(request, directory.available("model"), 0).orElseThrow();
        placement.recordSent(request, placed, 0);
        PlacementRequest large =
                new PlacementRequest(route(RouteKind.STREAM, true, 2), ENGINES, prompt(18_000, "q"), "north");
        for (int i = 0; i < 20; i++) {
            placement.recordPrefill(large, placed, 90);
        }
        placement.recordEnd(request, placed, 10);
        assertEquals(0, placement.localDemands(10).get("model").shortInFlight());
    }

    /**
     * Symptom: after a restart of gateways, short prompts of the first rank were late for ten seconds. Events: a gateway that
     * remembers nothing sends prompts of 17,000 tokens to engines that hold 13,300 of them, and has the first output after
     * 50 ms. Cause: it took engines to read 340 tokens a millisecond, and long prompts for short ones.
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
            PlacementPolicy.Decision placed =
                    placement.place(request, directory.available("model"), 0).orElseThrow();
            assertTrue(placed.longPrompt(), "prompt " + i);
            placement.recordPrefill(request, placed, 50);
        }
    }

    /**
     * Symptom: 59 to 104 questions were at the one engine of the short lane, which runs 48, and were left by their callers
     * after two seconds, while engines of the long lane had places. Events: half of the engines are lost in a burst of long
     * prompts. Cause: a lane's requests never went to the other lane.
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
        first.updatePeerLoad(48, 0);
        assertNotEquals(
                first.id(),
                placement
                        .place(shortRequest, directory.available("model"), 3)
                        .orElseThrow()
                        .server()
                        .id());
    }

    /**
     * In a sudden burst of questions 21 of 240 got nothing in five seconds while plans began. Two engines of eight were the
     * short lane; both were full, so that questions might go to the six others as well. They still went to the full ones, as
     * what there was to read at the others weighed more: a question that waits for a
     * place counted as little reading. Lines of questions of that second, at engines with 48 places: {@code running=44
     * reading=3330}, {@code 55, 6477}, {@code 64, 11393}, {@code 69, 12544}, all left by their callers after two seconds without
     * an event; at the same time the others were at {@code running=10 reading=17258} to {@code 26, 28384}.
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
        shortLane.updatePeerLoad(inFlightInFullLane, 9_000);
        for (ServerInstance other : directory.available("model")) {
            if (other != shortLane) {
                other.updatePeerLoad(inFlightElsewhere, pendingTokensElsewhere);
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

    /**
     * Symptom: in a long burst of long prompts of the last rank, 1,229 of 6,229 short requests of the first rank failed and
     * 3,635 were late. Events: the burst fills all places of the long lane. Cause: the long prompts that found no place there
     * went to the short lane and filled it too.
     */
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
        longLane.updatePeerLoad(60, 0);
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
        first.server().updatePeerLoad(0, 50_000);
        PlacementPolicy.Decision third =
                placement.place(request, directory.available("model"), 20).orElseThrow();
        assertNotEquals(first.server().id(), third.server().id());
    }

    @Test
    void leastRecentlyUsedPartsAreEvictedBeyondTheCapacity() {
        PrefixCacheTracker caches = PrefixCacheTracker.create();
        Prompt old = Prompt.of(600, 1, List.of(new PromptPart("a", 600)));
        Prompt recent = Prompt.of(500, 1, List.of(new PromptPart("b", 500)));
        caches.recordPrefill("e", old.parts(), 1_000, 0);
        assertEquals(600, caches.cachedTokens("e", old));
        caches.recordPrefill("e", recent.parts(), 1_000, 0);
        assertEquals(0, caches.cachedTokens("e", old));
        assertEquals(500, caches.cachedTokens("e", recent));
        assertEquals(0, caches.cachedTokens("other", recent));
    }
}
