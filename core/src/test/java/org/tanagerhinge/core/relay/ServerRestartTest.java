package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Symptom: after an engine started again under its id, requests went to it for prompts that it no longer held, it was left
 * out as ejected though it was sound, and its load counted requests that had ended with its first life. Events: an engine
 * crashes in the midst of a burst and registers again under the same id, with another time of birth. Cause: what is believed
 * of a server was kept under its id alone.
 */
class ServerRestartTest {
    private static final ServiceConfig ENGINES = ServiceConfig.of("model", 300, 48, 300_000);

    private static ServerRegistration born(String id, long born) {
        return new ServerRegistration(id, born, "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false);
    }

    private static List<ServerChange.Kind> kinds(List<ServerChange> changes) {
        return changes.stream().map(ServerChange::kind).toList();
    }

    @Test
    void aServerBornAgainUnderItsIdIsAnotherOne() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(born("e", 100), born("f", 100)), 0);
        ServerInstance first = directory.server("e@100");
        first.sent(9_000);
        for (int i = 0; i < 3; i++) {
            first.health().failed(10);
        }
        long digest = directory.digest();

        List<ServerChange> changes = directory.apply(List.of(born("e", 200), born("f", 100)), 800);

        assertEquals(List.of(ServerChange.Kind.GONE, ServerChange.Kind.SEEN), kinds(changes));
        assertEquals("e@100", changes.get(0).life());
        ServerInstance second = directory.server("e@200");
        assertTrue(first.gone());
        assertEquals(0, second.runningOfAll());
        assertEquals(0, second.promptTokensOfAll());
        assertTrue(second.health().usable(10));
        assertEquals(2, directory.open("model").size());
        assertNotEquals(digest, directory.digest(), "peers must see that their list is another one");
    }

    @Test
    void whatIsToldOfAnEarlierLifeNamesNoServer() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(born("e", 100)), 0);
        directory.apply(List.of(born("e", 200)), 800);
        assertNull(directory.server("e@100"));
        assertNull(directory.server("e"));
        assertNotNull(directory.server("e@200"));
    }

    @Test
    void aListThatWasAskedForEarlierBringsNoEarlierLifeBack() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(born("e", 200), born("f", 100)), 800);
        assertTrue(directory.apply(List.of(born("e", 100)), 700).isEmpty());
        assertNotNull(directory.server("e@200"));
        assertNotNull(directory.server("f@100"), "an older list doesn't end servers either");
    }

    @Test
    void theTimeOfDayMayHaveSteppedBackBetweenTwoLives() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(born("e", 200)), 0);
        directory.apply(List.of(born("e", 100)), 800);
        assertNotNull(directory.server("e@100"));
    }

    @Test
    void promptsOfAnEarlierLifeAreReadAgain() {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(List.of(born("e", 100)), 0);
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        Prompt prompt = Prompt.of(3_000, 80, List.of(new PromptPart("shared", 2_500), new PromptPart("own", 500)));
        PlacementRequest request = new PlacementRequest(route(), ENGINES, prompt, "north");
        placement.sent(request, placed(placement, request, directory), 0);
        assertEquals(500, placed(placement, request, directory).tokensToRead());

        for (ServerChange change : directory.apply(List.of(born("e", 200)), 800)) {
            if (change.kind() == ServerChange.Kind.GONE) {
                placement.forget(change.life());
            }
        }

        assertEquals(3_000, placed(placement, request, directory).tokensToRead());
    }

    private static PlacementPolicy.Decision placed(
            PromptAwarePlacement placement, PlacementRequest request, ServerDirectory directory) {
        return placement.place(request, directory.open("model"), 900).orElseThrow();
    }

    private static Route route() {
        List<WeightedService> shares = List.of(new WeightedService("model", 1));
        return new Route("r", "h", "/", RouteKind.STREAM, true, shares, 2, 5_000, 300, 120, 0, false, true);
    }

    @ParameterizedTest
    @CsvSource({"0, e", "1764717600000, e@1764717600000"})
    void aServerThatTellsNoBirthHasOneLife(long born, String life) {
        assertEquals(life, born("e", born).life());
        assertTrue(Stream.of(born("e", born))
                .allMatch(one -> ServerInstance.of(one).life().equals(life)));
    }
}
