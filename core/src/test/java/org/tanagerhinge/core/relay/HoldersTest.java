package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which engines a prompt with shared parts may go to, and what these fetch from each other. */
class HoldersTest {
    private static final ServiceTerms LINKED = new ServiceTerms("model", 300, 48, 1_200_000, 18_432, 180_000_000);
    private static final ServiceTerms UNLINKED = ServiceTerms.of("model", 300, 48, 1_200_000);
    private static final ServiceTerms SLOW_LINKS = new ServiceTerms("model", 300, 48, 1_200_000, 18_432, 4_000_000);
    /** Longer than a prompt that was sent is taken to wait. */
    private static final long READ = 2_000;

    private static List<RelayServer> engines(int count) {
        List<RelayServer> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(RelayServer.of(
                    new Registration("i-" + i, 0, "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false)));
        }
        return engines;
    }

    private static PlacementRequest request(ServiceTerms service, int thing, int own) {
        Route route = new Route(
                "r",
                "h",
                "/",
                RouteKind.STREAM,
                true,
                List.of(new ServiceShare("model", 1)),
                2,
                5_000,
                300,
                120,
                0,
                false,
                true);
        Prompt prompt = Prompt.of(
                17_000,
                80,
                List.of(
                        new PromptPart("all", 2_000),
                        new PromptPart("shared" + thing, 11_300),
                        new PromptPart("own" + own, 3_700)));
        return new PlacementRequest(route, service, prompt, "north");
    }

    /**
     * Symptom: half of all prompt tokens were shared parts read again, and engines read for seconds what was late then. Events:
     * engines are all busy, each a little more or less at each moment. Cause: a prompt left the engines that hold its parts for
     * any that had less to do, which made it read them, and so all engines read and kept the same parts.
     */
    @Test
    void aPartIsReadByFewEnginesHoweverTheirLoadsDiffer() {
        assertTrue(enginesThatRead(PromptAware.create()) <= 3);
        assertTrue(enginesThatRead(PromptAware.without(Set.of(Mechanism.HOLDERS_ONLY))) > 3);
    }

    private static int enginesThatRead(PromptAware placement) {
        List<RelayServer> engines = engines(20);
        Set<RelayServer> readers = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            for (int k = 0; k < engines.size(); k++) {
                engines.get(k).peers(10, (i * 7_919L + k * 104_729L) % 400_000);
            }
            PlacementRequest request = request(LINKED, 1, i);
            Placement.Placed placed = placement.place(request, engines, i * 20L).orElseThrow();
            readers.add(placed.server());
            placement.sent(request, placed, i * 20L);
        }
        return readers.size();
    }

    /**
     * Symptom: engines that came back after a crash read at their limit for five seconds while others had nothing to do.
     * Events: a part that all prompts share is held everywhere, so some of each prompt is held by every engine. Cause: its
     * home was preferred only while nobody held anything of it.
     */
    @Test
    void aPromptOfWhichOnlyTheCommonPartIsHeldGoesToItsHome() {
        List<RelayServer> engines = engines(10);
        PromptAware placement = PromptAware.create();
        for (RelayServer engine : engines) {
            placement.kept(engine, LINKED, List.of(new PromptPart("all", 2_000)), 0);
        }
        for (int thing = 0; thing < 20; thing++) {
            PlacementRequest request = request(LINKED, thing, thing);
            PrefixHomes homes = PrefixHomes.of(request.prompt(), engines);
            RelayServer chosen =
                    placement.place(request, engines, 10).orElseThrow().server();
            assertEquals(0, homes.rank(chosen), "prompt " + thing);
        }
    }

    private static Optional<Placement.Fetch> fetched(
            PromptAware placement, ServiceTerms service, List<RelayServer> candidates, RelayServer holder, long now) {
        placement.kept(holder, service, request(service, 1, 1).prompt().sharedParts(), 0);
        holder.peers(10, 500_000);
        Placement.Placed placed =
                placement.place(request(service, 1, 2), candidates, now).orElseThrow();
        assertNotEquals(holder, placed.server());
        return placed.fetch();
    }

    @Test
    void anEngineThatIsChosenInPlaceOfABusyHolderFetchesFromIt() {
        List<RelayServer> engines = engines(6);
        Placement.Fetch fetch = fetched(PromptAware.create(), LINKED, engines, engines.get(2), READ)
                .orElseThrow();
        assertEquals(engines.get(2), fetch.from());
        assertEquals(13_300, fetch.tokens());
    }

    /**
     * Symptom: log lines told of more fetched tokens than moved. Cause: what the chosen engine held itself was counted too.
     */
    @Test
    void whatTheChosenEngineHoldsItselfIsNotFetched() {
        List<RelayServer> engines = engines(6);
        PromptAware placement = PromptAware.create();
        engines.forEach(engine -> placement.kept(engine, LINKED, List.of(new PromptPart("all", 2_000)), 0));
        Placement.Fetch fetch =
                fetched(placement, LINKED, engines, engines.get(2), READ).orElseThrow();
        assertEquals(11_300, fetch.tokens());
    }

    @ParameterizedTest
    @CsvSource({
        // how long ago the holder was sent the prompt, whether the holder may be asked
        "100,  false",
        "900,  false",
        "1000, true",
    })
    void whatIsStillBeingReadIsNotFetched(long age, boolean expected) {
        List<RelayServer> engines = engines(6);
        assertEquals(
                expected,
                fetched(PromptAware.create(), LINKED, engines, engines.get(2), age)
                        .isPresent());
    }

    @Test
    void nothingIsFetchedWhereLinksAreNotToldOrTooSlow() {
        for (ServiceTerms service : List.of(UNLINKED, SLOW_LINKS)) {
            List<RelayServer> engines = engines(6);
            assertEquals(Optional.empty(), fetched(PromptAware.create(), service, engines, engines.get(2), READ));
        }
    }

    /** What would go wrong: an engine waits for one that is leaving, silent or gone before it reads a prompt. */
    @Test
    void nothingIsFetchedFromAnEngineThatTakesNoNewWork() {
        List<RelayServer> engines = engines(6);
        RelayServer leaving = engines.get(2);
        List<RelayServer> others =
                engines.stream().filter(engine -> engine != leaving).toList();
        assertEquals(Optional.empty(), fetched(PromptAware.create(), LINKED, others, leaving, READ));
    }

    /** What would go wrong: another life of a server under its address is asked for what the life before had read. */
    @Test
    void nothingIsFetchedFromALifeThatHasEnded() {
        List<RelayServer> engines = engines(6);
        PromptAware placement = PromptAware.create();
        RelayServer holder = engines.get(2);
        placement.kept(holder, LINKED, request(LINKED, 1, 1).prompt().sharedParts(), 0);
        placement.forget(holder.life());
        Placement.Placed placed =
                placement.place(request(LINKED, 1, 2), engines, READ).orElseThrow();
        assertEquals(Optional.empty(), placed.fetch());
    }

    @Test
    void aFetchChangesNoChoice() {
        for (int thing = 0; thing < 30; thing++) {
            List<RelayServer> engines = engines(8);
            RelayServer with = chosen(PromptAware.create(), engines, thing);
            RelayServer without = chosen(PromptAware.without(Set.of(Mechanism.FETCH)), engines, thing);
            assertEquals(with, without);
        }
    }

    private static RelayServer chosen(PromptAware placement, List<RelayServer> engines, int thing) {
        RelayServer holder = engines.get(thing % engines.size());
        placement.kept(holder, LINKED, request(LINKED, thing, 1).prompt().sharedParts(), 0);
        holder.peers(3, thing * 10_000L);
        return placement
                .place(request(LINKED, thing, 2), engines, READ)
                .orElseThrow()
                .server();
    }

    @ParameterizedTest
    @CsvSource({
        // short and long tokens a second, whether short ones are more urgent, expected short engines of 20
        "60000,  100000, false, 5",
        "300000, 900000, false, 8",
        "300000, 900000, true,  14",
        "150000, 900000, true,  11",
    })
    void inAShortageTheMoreUrgentShortPromptsGetWhatTheyNeed(
            double shorts, double longs, boolean shortFirst, int expected) {
        assertEquals(expected, Lanes.shortEngines(20, 48, new LaneDemand(10, shorts, longs), 42.8, 0.35, shortFirst));
    }
}
