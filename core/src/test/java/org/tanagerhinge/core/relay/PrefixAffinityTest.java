package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests the preferred engines of shared prompt parts. Guards against prefilling cached parts again after a restart of
 * all nodes: with empty cache estimates, each node would send a part to the least loaded engine.
 */
class PrefixAffinityTest {
    private static final ServiceConfig ENGINES = ServiceConfig.of("model", 300, 48, 1_200_000);
    private static final int PARTS = 2_000;

    private static List<ServerInstance> engines(int count) {
        List<ServerInstance> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(ServerInstance.of(new ServerRegistration(
                    "i-" + i, 0, "v1", "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false)));
        }
        return engines;
    }

    private static Prompt prompt(int prefix, int suffix) {
        return Prompt.of(
                17_000, 80, List.of(new PromptPart("shared" + prefix, 13_300), new PromptPart("own" + suffix, 3_700)));
    }

    private static PlacementRequest request(int prefix, int suffix) {
        List<WeightedService> shares = List.of(new WeightedService("model", 1));
        Route route = new Route("r", "h", "/", RouteKind.STREAM, true, shares, 2, 5_000, 300, 120, 0, false, true);
        return new PlacementRequest(route, ENGINES, prompt(prefix, suffix), "north");
    }

    private static ServerInstance preferredEngine(Prompt prompt, List<ServerInstance> engines) {
        PrefixAffinity affinity = PrefixAffinity.of(prompt, engines);
        return engines.stream()
                .filter(engine -> affinity.position(engine) == 0)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void restartedNodesChooseTheSameEngine() {
        List<ServerInstance> engines = engines(10);
        for (int prefix = 0; prefix < 50; prefix++) {
            PromptAwarePlacement one = PromptAwarePlacement.create();
            PromptAwarePlacement other = PromptAwarePlacement.create();
            one.place(request(prefix + 1_000, 0), engines, 0);
            ServerInstance chosen =
                    one.place(request(prefix, 1), engines, 0).orElseThrow().server();
            assertEquals(
                    chosen,
                    other.place(request(prefix, 2), engines, 0).orElseThrow().server());
        }
    }

    @Test
    void restartedNodesWithoutAffinityMostlyChooseDifferentEngines() {
        List<ServerInstance> engines = engines(10);
        int same = 0;
        for (int prefix = 0; prefix < 50; prefix++) {
            PromptAwarePlacement one = PromptAwarePlacement.without(Set.of(Mechanism.PREFIX_HOMES));
            PromptAwarePlacement other = PromptAwarePlacement.without(Set.of(Mechanism.PREFIX_HOMES));
            one.place(request(prefix + 1_000, 0), engines, 0);
            ServerInstance chosen =
                    one.place(request(prefix, 1), engines, 0).orElseThrow().server();
            same += chosen
                            == other.place(request(prefix, 2), engines, 0)
                                    .orElseThrow()
                                    .server()
                    ? 1
                    : 0;
        }
        assertTrue(same < 25, same + " of 50 at the same engine");
    }

    @Test
    void partsSpreadEvenlyAndTheLossOfAnEngineMovesOnlyItsParts() {
        List<ServerInstance> all = engines(10);
        List<ServerInstance> fewer = all.subList(0, 9);
        Map<ServerInstance, Integer> counts = new HashMap<>();
        for (int prefix = 0; prefix < PARTS; prefix++) {
            ServerInstance before = preferredEngine(prompt(prefix, 0), all);
            counts.merge(before, 1, Integer::sum);
            ServerInstance after = preferredEngine(prompt(prefix, 0), fewer);
            if (before != all.get(9)) {
                assertEquals(before, after);
            }
        }
        counts.forEach((engine, count) ->
                assertTrue(count > PARTS / 20 && count < PARTS / 5, engine.id() + " parts: " + count));
    }

    @Test
    void secondPreferredEngineReplacesALostFirst() {
        List<ServerInstance> all = engines(10);
        for (int prefix = 0; prefix < 50; prefix++) {
            PrefixAffinity affinity = PrefixAffinity.of(prompt(prefix, 0), all);
            ServerInstance first = preferredEngine(prompt(prefix, 0), all);
            List<ServerInstance> others =
                    all.stream().filter(engine -> engine != first).toList();
            ServerInstance next = preferredEngine(prompt(prefix, 0), others);
            assertEquals(1, affinity.position(next));
        }
    }

    @Test
    void overloadedPreferredEngineIsNotChosen() {
        List<ServerInstance> engines = engines(4);
        ServerInstance preferred = preferredEngine(prompt(7, 0), engines);
        preferred.recordSent(0, 200_000);
        assertNotEquals(
                preferred,
                PromptAwarePlacement.create()
                        .place(request(7, 0), engines, 0)
                        .orElseThrow()
                        .server());
    }

    @Test
    void promptWithoutSharedPartsHasNoPreferredEngine() {
        List<ServerInstance> engines = engines(3);
        PrefixAffinity affinity = PrefixAffinity.of(Prompt.of(100, 10, List.of(new PromptPart("own", 100))), engines);
        assertTrue(engines.stream().allMatch(engine -> affinity.position(engine) < 0));
    }
}
