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

/** Tests which engines a prompt with shared parts may go to, and which prefixes engines fetch from each other. */
class PrefixPlacementTest {
    private static final ServiceConfig LINKED = new ServiceConfig("model", 300, 48, 1_200_000, 18_432, 180_000_000);
    private static final ServiceConfig UNLINKED = ServiceConfig.of("model", 300, 48, 1_200_000);
    private static final ServiceConfig SLOW_LINKS = new ServiceConfig("model", 300, 48, 1_200_000, 18_432, 4_000_000);
    /** Longer than the time after which a prompt that was sent counts as prefilled. */
    private static final long PREFILLED_MILLIS = 2_000;

    private static List<ServerInstance> engines(int count) {
        List<ServerInstance> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(ServerInstance.of(new ServerRegistration(
                    "i-" + i, 0, "v1", "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false)));
        }
        return engines;
    }

    private static PlacementRequest request(ServiceConfig service, int prefix, int suffix) {
        Route route = new Route(
                "r",
                "h",
                "/",
                RouteKind.STREAM,
                true,
                List.of(new WeightedService("model", 1)),
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
                        new PromptPart("shared" + prefix, 11_300),
                        new PromptPart("own" + suffix, 3_700)));
        return new PlacementRequest(route, service, prompt, "north");
    }

    /**
     * Guards against placement by load alone: with uneven load, prompts would leave the engines that have their parts
     * cached, and all engines would prefill and cache the same parts.
     */
    @Test
    void fewEnginesPrefillASharedPartUnderUnevenLoad() {
        assertTrue(countPrefillingEngines(PromptAwarePlacement.create()) <= 3);
        assertTrue(countPrefillingEngines(PromptAwarePlacement.without(Set.of(Mechanism.HOLDERS_ONLY))) > 3);
    }

    private static int countPrefillingEngines(PromptAwarePlacement placement) {
        List<ServerInstance> engines = engines(20);
        Set<ServerInstance> chosen = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            for (int k = 0; k < engines.size(); k++) {
                engines.get(k).updatePeerLoad(RankedLoad.of(10, (i * 7_919L + k * 104_729L) % 400_000));
            }
            PlacementRequest request = request(LINKED, 1, i);
            PlacementPolicy.Decision decision =
                    placement.place(request, engines, i * 20L).orElseThrow();
            chosen.add(decision.server());
            placement.recordSent(request, decision, i * 20L);
        }
        return chosen.size();
    }

    /**
     * Guards against overload of restarted engines: a part that all prompts share is cached everywhere, and must not
     * count as a cached prefix that overrides the preferred engine.
     */
    @Test
    void promptWithOnlyTheCommonPartCachedGoesToItsPreferredEngine() {
        List<ServerInstance> engines = engines(10);
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        for (ServerInstance engine : engines) {
            placement.recordPeerSent(engine, LINKED, List.of(new PromptPart("all", 2_000)), 0);
        }
        for (int prefix = 0; prefix < 20; prefix++) {
            PlacementRequest request = request(LINKED, prefix, prefix);
            PrefixAffinity affinity = PrefixAffinity.of(request.prompt(), engines);
            ServerInstance chosen =
                    placement.place(request, engines, 10).orElseThrow().server();
            assertEquals(0, affinity.position(chosen), "prompt " + prefix);
        }
    }

    private static Optional<PlacementPolicy.PrefixFetch> fetchFromBusyHolder(
            PromptAwarePlacement placement,
            ServiceConfig service,
            List<ServerInstance> candidates,
            ServerInstance holder,
            long now) {
        placement.recordPeerSent(
                holder, service, request(service, 1, 1).prompt().sharedParts(), 0);
        holder.updatePeerLoad(RankedLoad.of(10, 500_000));
        PlacementPolicy.Decision decision =
                placement.place(request(service, 1, 2), candidates, now).orElseThrow();
        assertNotEquals(holder, decision.server());
        return decision.fetch();
    }

    @Test
    void engineChosenInPlaceOfABusyHolderFetchesFromIt() {
        List<ServerInstance> engines = engines(6);
        PlacementPolicy.PrefixFetch fetch = fetchFromBusyHolder(
                        PromptAwarePlacement.create(), LINKED, engines, engines.get(2), PREFILLED_MILLIS)
                .orElseThrow();
        assertEquals(engines.get(2), fetch.source());
        assertEquals(13_300, fetch.tokens());
    }

    /** Guards against counting tokens as fetched that the chosen engine has cached itself. */
    @Test
    void tokensCachedByTheChosenEngineAreNotFetched() {
        List<ServerInstance> engines = engines(6);
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        engines.forEach(engine -> placement.recordPeerSent(engine, LINKED, List.of(new PromptPart("all", 2_000)), 0));
        PlacementPolicy.PrefixFetch fetch = fetchFromBusyHolder(
                        placement, LINKED, engines, engines.get(2), PREFILLED_MILLIS)
                .orElseThrow();
        assertEquals(11_300, fetch.tokens());
    }

    @ParameterizedTest
    @CsvSource({
        // milliseconds since the holder was sent the prompt, whether it may be the source of a fetch
        "100,  false",
        "900,  false",
        "1000, true",
    })
    void prefixThatIsStillBeingPrefilledIsNotFetched(long sentAgoMillis, boolean expected) {
        List<ServerInstance> engines = engines(6);
        assertEquals(
                expected,
                fetchFromBusyHolder(PromptAwarePlacement.create(), LINKED, engines, engines.get(2), sentAgoMillis)
                        .isPresent());
    }

    @Test
    void nothingIsFetchedOverUnknownOrSlowLinks() {
        for (ServiceConfig service : List.of(UNLINKED, SLOW_LINKS)) {
            List<ServerInstance> engines = engines(6);
            assertEquals(
                    Optional.empty(),
                    fetchFromBusyHolder(
                            PromptAwarePlacement.create(), service, engines, engines.get(2), PREFILLED_MILLIS));
        }
    }

    /** Guards against an engine that waits for a source that is leaving, silent or removed. */
    @Test
    void nothingIsFetchedFromAnUnavailableEngine() {
        List<ServerInstance> engines = engines(6);
        ServerInstance leaving = engines.get(2);
        List<ServerInstance> others =
                engines.stream().filter(engine -> engine != leaving).toList();
        assertEquals(
                Optional.empty(),
                fetchFromBusyHolder(PromptAwarePlacement.create(), LINKED, others, leaving, PREFILLED_MILLIS));
    }

    /** Guards against a prefix that was computed by one software version and is continued by another one. */
    @Test
    void nothingIsFetchedFromAnEngineOfAnotherSoftwareVersion() {
        List<ServerInstance> engines = engines(6);
        ServerInstance holder = ServerInstance.of(new ServerRegistration(
                "i-2", 0, "v2", "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false));
        engines.set(2, holder);
        assertEquals(
                Optional.empty(),
                fetchFromBusyHolder(PromptAwarePlacement.create(), LINKED, engines, holder, PREFILLED_MILLIS));
    }

    /**
     * Guards against a fetch from a new instance of a server for a prefix that only the previous instance had cached.
     */
    @Test
    void nothingIsFetchedFromARemovedInstance() {
        List<ServerInstance> engines = engines(6);
        PromptAwarePlacement placement = PromptAwarePlacement.create();
        ServerInstance holder = engines.get(2);
        placement.recordPeerSent(holder, LINKED, request(LINKED, 1, 1).prompt().sharedParts(), 0);
        placement.forgetInstance(holder.instanceId());
        PlacementPolicy.Decision decision = placement
                .place(request(LINKED, 1, 2), engines, PREFILLED_MILLIS)
                .orElseThrow();
        assertEquals(Optional.empty(), decision.fetch());
    }

    @Test
    void fetchingDoesNotAffectTheChoiceOfEngine() {
        for (int prefix = 0; prefix < 30; prefix++) {
            List<ServerInstance> engines = engines(8);
            ServerInstance with = choose(PromptAwarePlacement.create(), engines, prefix);
            ServerInstance without = choose(PromptAwarePlacement.without(Set.of(Mechanism.FETCH)), engines, prefix);
            assertEquals(with, without);
        }
    }

    private static ServerInstance choose(PromptAwarePlacement placement, List<ServerInstance> engines, int prefix) {
        ServerInstance holder = engines.get(prefix % engines.size());
        placement.recordPeerSent(
                holder, LINKED, request(LINKED, prefix, 1).prompt().sharedParts(), 0);
        holder.updatePeerLoad(RankedLoad.of(3, prefix * 10_000L));
        return placement
                .place(request(LINKED, prefix, 2), engines, PREFILLED_MILLIS)
                .orElseThrow()
                .server();
    }

    @ParameterizedTest
    @CsvSource({
        // short and long tokens per second, whether short ones are more urgent, expected short engines of 20
        "60000,  100000, false, 5",
        "300000, 900000, false, 8",
        "300000, 900000, true,  14",
        "150000, 900000, true,  11",
    })
    void moreUrgentShortPromptsGetTheirDemandInAShortage(
            double shortTokensPerSecond, double longTokensPerSecond, boolean shortMoreUrgent, int expected) {
        assertEquals(
                expected,
                LaneSizing.shortLaneSize(
                        20,
                        48,
                        new LaneDemand(10, shortTokensPerSecond, longTokensPerSecond),
                        42.8,
                        0.35,
                        shortMoreUrgent));
    }
}
