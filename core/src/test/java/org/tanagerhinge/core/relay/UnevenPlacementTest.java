package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tanagerhinge.core.relay.RelayFixture.registration;
import static org.tanagerhinge.core.relay.RelayFixture.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which servers get requests where they state different work times. */
class UnevenPlacementTest {
    private static final ServiceConfig ENGINES = ServiceConfig.of("model", 300, 48, 300_000);
    private static final ServiceConfig PLAIN = ServiceConfig.of("model", 300, 0, 0);

    private final PromptAwarePlacement placement = PromptAwarePlacement.create();
    private final ServerDirectory directory = ServerDirectory.create();

    private List<ServerInstance> servers(int count) {
        List<ServerRegistration> registrations = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            registrations.add(registration("e" + i, false));
        }
        directory.apply(registrations, 0);
        return directory.available("model");
    }

    private static PlacementRequest request(ServiceConfig service, Prompt prompt) {
        return new PlacementRequest(route(RouteKind.STREAM, true, 2), service, prompt, "north");
    }

    private static Prompt prompt(int tokens, int number) {
        return Prompt.of(tokens, 80, List.of(new PromptPart("own" + number, tokens)));
    }

    private PlacementPolicy.Decision send(PlacementRequest request, long nowMillis) {
        PlacementPolicy.Decision decision = placement
                .place(request, directory.available("model"), nowMillis)
                .orElseThrow();
        placement.recordSent(request, decision, nowMillis);
        placement.recordEnd(request, decision, nowMillis);
        return decision;
    }

    /** Guards against streams with tight gaps on the slow engines while fast ones prefill long prompts. */
    @Test
    void shortPromptsGetTheFastestEngines() {
        List<ServerInstance> engines = servers(8);
        for (int round = 0; round < 10; round++) {
            for (int i = 0; i < 8; i++) {
                double usual = i % 4 == 3 ? 0.55 : 1.2;
                placement.recordWorkTime(engines.get(i), round % 5 == 0 ? 2.5 * usual : usual, 300L * round);
            }
        }
        Set<String> shortLane = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            boolean isLong = i % 2 == 0;
            PlacementPolicy.Decision decision =
                    send(request(ENGINES, prompt(isLong ? 9_000 : 800, i)), 3_000 + 10L * i);
            assertEquals(isLong, decision.longPrompt());
            if (!isLong && i > 100) {
                shortLane.add(decision.server().id());
            }
        }
        assertTrue(Set.of("e3", "e7").containsAll(shortLane), "short prompts went to " + shortLane);
    }

    /** Guards against work that is sent to an engine whose host is slow at the moment. */
    @Test
    void engineInASlowMomentGetsNoNewWorkWhileOthersAreAsFree() {
        List<ServerInstance> engines = servers(4);
        placement.recordWorkTime(engines.get(1), 2.5, 1_000);
        placement.recordWorkTime(engines.get(0), 1, 1_000);
        for (int i = 0; i < 20; i++) {
            Prompt prompt = Prompt.of(800, 80, List.of());
            assertNotEquals("e1", send(request(ENGINES, prompt), 1_100).server().id());
        }
    }

    /**
     * Guards against a choice by requests over slots alone, where a free slot of a busy host is slower than another.
     */
    @Test
    void plainServerIsChosenByExpectedTime() {
        List<ServerInstance> servers = servers(2);
        placement.recordWorkTime(servers.get(0), 2.5, 1_000);
        placement.recordWorkTime(servers.get(1), 1, 1_000);
        servers.get(1).updatePeerLoad(RankedLoad.of(30, 0));
        assertEquals("e1", send(request(PLAIN, Prompt.NONE), 1_100).server().id());
        servers.get(1).updatePeerLoad(RankedLoad.of(120, 0));
        assertEquals("e0", send(request(PLAIN, Prompt.NONE), 1_100).server().id());
    }

    /**
     * Guards against a restarted server, or one of an older version, that gets all requests since it states nothing.
     */
    @Test
    void plainServerWithoutStatementCountsAsNominal() {
        List<ServerInstance> servers = servers(3);
        placement.recordWorkTime(servers.get(0), 1, 1_000);
        placement.recordWorkTime(servers.get(1), 1, 1_000);
        servers.get(2).updatePeerLoad(RankedLoad.of(3, 0));
        for (int i = 0; i < 6; i++) {
            assertNotEquals(
                    "e2", send(request(PLAIN, Prompt.NONE), 1_100).server().id());
        }
    }

    /** Guards against prompts that count as short on engines that are slower than nominal at all times. */
    @Test
    void enginesOfConstantSlownessCountByTheirSpeed() {
        List<ServerInstance> engines = servers(8);
        placement.updateMinEventGap(200);
        for (int round = 0; round < 10; round++) {
            for (ServerInstance engine : engines) {
                placement.recordWorkTime(engine, 2, 300L * round);
            }
        }
        PlacementRequest request = request(ENGINES, prompt(11_200, 0));
        PlacementPolicy.Decision decision =
                placement.place(request, engines, 3_000).orElseThrow();
        for (int i = 0; i < 50; i++) {
            placement.recordPrefill(request, decision, 200);
        }
        assertTrue(placement
                .place(request(ENGINES, prompt(8_000, 1)), engines, 3_000)
                .orElseThrow()
                .longPrompt());
    }

    /** Guards against a peer's report that counts for another instance of a server, or fails on one that has left. */
    @Test
    void reportsOfPeersReachTheInstanceThatTheyName() {
        List<ServerInstance> engines = servers(2);
        PeerLoadUpdater updater = PeerLoadUpdater.of(directory::instance);
        updater.recordWorkTimes(
                Map.of(
                        "e0", new PeerReport.StatedWorkTime(2.5, 40),
                        "e0@17", new PeerReport.StatedWorkTime(7, 40),
                        "gone", new PeerReport.StatedWorkTime(7, 40)),
                placement,
                1_000);
        assertEquals(2.5, engines.get(0).workTime().current(1_000));
        assertEquals(1, engines.get(1).workTime().current(1_000));
    }

    /** Guards against a restarted server that counts as slow because the instance before it was. */
    @Test
    void restartedServerIsUnknown() {
        directory.apply(List.of(registration("a", 1)), 0);
        placement.recordWorkTime(directory.available("model").getFirst(), 3, 10);
        directory.apply(List.of(registration("a", 2)), 20);
        assertEquals(1, directory.available("model").getFirst().workTime().current(30));
    }

    /** Guards against a prefill rate that follows the fastest engines, so that long prompts count as short. */
    @Test
    void prefillRateIsThatOfAnEngineOfNominalSpeed() {
        List<ServerInstance> engines = servers(4);
        placement.updateMinEventGap(200);
        for (int i = 0; i < engines.size(); i++) {
            placement.recordWorkTime(engines.get(i), i == 0 ? 0.55 : 1.2, 0);
        }
        PlacementPolicy.Decision onFastEngine = PlacementPolicy.Decision.unordered(engines.getFirst(), 11_200);
        for (int i = 0; i < 50; i++) {
            placement.recordPrefill(request(ENGINES, prompt(11_200, 0)), onFastEngine, 55);
        }
        assertTrue(placement
                .place(request(ENGINES, prompt(9_500, 1)), engines, 20)
                .orElseThrow()
                .longPrompt());
    }
}
