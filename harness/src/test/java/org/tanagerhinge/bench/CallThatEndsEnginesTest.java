package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.standin.Answers;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.EngineStandin;

/**
 * A call that ends each engine that begins to run it went on from engine to engine: within one call as often as its profile and the
 * class's budget allow, and with each time that its caller asked again. The router knew the call by its id alone, which is new
 * each time. Found by reading, after one request had ended thirteen engines behind the gateways of a fleet.
 */
class CallThatEndsEnginesTest {
    private static final String POISON = "the one that ends engines [length 9]";
    private static final int ENGINES = 6;
    private static final int CALLS = 8;
    /** Engines that may end under one call, and times that it may reach one after that. */
    private static final int MOST_ENDS = 3 + 3;

    private static final long DOWN_MILLIS = 600;

    private final List<EngineStandin> engines = new ArrayList<>();
    private LocalCluster cluster;

    @BeforeEach
    void setUp() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT).profiles(Callers.profiles());
        for (int i = 0; i < ENGINES; i++) {
            cluster.engine("engine-" + i, "kita", EngineModel.small());
        }
        cluster.router("router-1", "kita").awaitReady();
        for (int i = 0; i < ENGINES; i++) {
            EngineStandin engine = cluster.engine("engine-" + i);
            engine.fatal(Answers.mark(POISON), DOWN_MILLIS);
            engines.add(engine);
        }
    }

    @AfterEach
    void tearDown() {
        assertEquals(0, cluster.violations());
        cluster.close();
    }

    private ContentResponse ask(String profile, String message) throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/chat/completions";
        return Callers.post(cluster.http(), url, profile, Callers.completion(message, true), Map.of())
                .send();
    }

    private int ends() {
        return engines.stream()
                .mapToInt(engine -> engine.runs().getOrDefault(Answers.mark(POISON), 0))
                .sum();
    }

    @ParameterizedTest
    @ValueSource(strings = {"chat", "card"})
    void aCallUnderWhichThreeEnginesEndedIsSentNoMore(String profile) throws Exception {
        ContentResponse last = null;
        for (int i = 0; i < CALLS; i++) {
            last = ask(profile, POISON);
            Thread.sleep(DOWN_MILLIS);
        }
        assertTrue(ends() <= MOST_ENDS, ends() + " ends");
        assertEquals(503, last.getStatus());
        assertEquals(
                String.valueOf(ResultCode.REQUEST_HELD.number()),
                last.getHeaders().get(ResultCode.HEADER));
        assertEquals(200, ask(profile, "another one [length 3]").getStatus(), "others are served");
    }
}
