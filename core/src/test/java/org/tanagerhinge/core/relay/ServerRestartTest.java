package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tanagerhinge.core.relay.RelayFixture.registration;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a server that restarts under the same id. Guards against state of the previous instance (cached prompts,
 * ejection, requests in flight) that is kept for the new one.
 */
class ServerRestartTest {
    private static final ServiceConfig ENGINES = ServiceConfig.of("model", 300, 48, 300_000);

    private static List<ServerChange.Kind> kinds(List<ServerChange> changes) {
        return changes.stream().map(ServerChange::kind).toList();
    }

    @Test
    void restartUnderTheSameIdReplacesTheInstance() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("e", 100), registration("f", 100)), 0);
        ServerInstance first = directory.instance("e@100");
        first.recordSent(0, 9_000);
        for (int i = 0; i < 3; i++) {
            first.health().recordFailure(10);
        }
        long digest = directory.digest();

        List<ServerChange> changes = directory.apply(List.of(registration("e", 200), registration("f", 100)), 800);

        assertEquals(List.of(ServerChange.Kind.REMOVED, ServerChange.Kind.ADDED), kinds(changes));
        assertEquals("e@100", changes.get(0).instanceId());
        ServerInstance second = directory.instance("e@200");
        assertTrue(first.removed());
        assertEquals(0, second.totalInFlight());
        assertEquals(0, second.totalPendingPrefillTokens());
        assertTrue(second.health().usable(10));
        assertEquals(2, directory.available("model").size());
        assertNotEquals(digest, directory.digest(), "the digest must change with the instance");
    }

    @Test
    void previousInstanceIdResolvesToNoServer() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("e", 100)), 0);
        directory.apply(List.of(registration("e", 200)), 800);
        assertNull(directory.instance("e@100"));
        assertNull(directory.instance("e"));
        assertNotNull(directory.instance("e@200"));
    }

    @Test
    void olderListDoesNotRestoreAPreviousInstance() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("e", 200), registration("f", 100)), 800);
        assertTrue(directory.apply(List.of(registration("e", 100)), 700).isEmpty());
        assertNotNull(directory.instance("e@200"));
        assertNotNull(directory.instance("f@100"), "an older list doesn't remove servers either");
    }

    @Test
    void restartWithAnEarlierStartTimeIsANewInstance() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("e", 200)), 0);
        directory.apply(List.of(registration("e", 100)), 800);
        assertNotNull(directory.instance("e@100"));
    }

    @Test
    void restartClearsTheCachedPrefixes() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(registration("e", 100)), 0);
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        Prompt prompt = Prompt.of(3_000, 80, List.of(new PromptPart("shared", 2_500), new PromptPart("own", 500)));
        PlacementRequest request = new PlacementRequest(route(), ENGINES, prompt, "north");
        placement.recordSent(request, decide(placement, request, directory), 0);
        assertEquals(500, decide(placement, request, directory).tokensToPrefill());

        for (ServerChange change : directory.apply(List.of(registration("e", 200)), 800)) {
            if (change.kind() == ServerChange.Kind.REMOVED) {
                placement.forgetInstance(change.instanceId());
            }
        }

        assertEquals(3_000, decide(placement, request, directory).tokensToPrefill());
    }

    private static PlacementPolicy.Decision decide(
            PromptAwarePlacement placement, PlacementRequest request, ServerDirectory directory) {
        return placement.place(request, directory.available("model"), 900).orElseThrow();
    }

    private static Route route() {
        List<WeightedService> shares = List.of(new WeightedService("model", 1));
        return new Route("r", "h", "/", RouteKind.STREAM, true, shares, 2, 5_000, 300, 120, 0, false, true);
    }

    @ParameterizedTest
    @CsvSource({"0, e", "1764717600000, e@1764717600000"})
    void instanceIdIsTheServerIdWithoutAStartTime(long startedAtMillis, String instanceId) {
        assertEquals(instanceId, registration("e", startedAtMillis).instanceId());
        assertTrue(Stream.of(registration("e", startedAtMillis))
                .allMatch(one -> ServerInstance.of(one).instanceId().equals(instanceId)));
    }
}
