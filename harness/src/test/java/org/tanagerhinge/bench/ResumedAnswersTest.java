package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.EngineStandin;

/** Answers of a crashed engine that routers resume where engines of two software versions serve side by side. */
class ResumedAnswersTest {
    private static final int CALLS = 16;
    private static final long DOWN_MILLIS = 2_000;

    private final List<EngineStandin> engines = new ArrayList<>();
    private LocalCluster cluster;

    @BeforeEach
    void setUp() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT).profiles(Callers.profiles());
        for (int i = 0; i < 4; i++) {
            cluster.engine("engine-" + i, "kita", EngineModel.small());
        }
        cluster.router("router-1", "kita").awaitReady();
        for (int i = 0; i < 4; i++) {
            engines.add(cluster.engine("engine-" + i));
            engines.get(i).softwareVersion(i < 2 ? "v1" : "v2");
        }
    }

    @AfterEach
    void tearDown() {
        assertEquals(0, cluster.violations());
        cluster.close();
    }

    private void ask(int number) {
        String url = cluster.routerUrls().get(0) + "/v1/chat/completions";
        String body = Callers.completion("question " + number + " [length 120]", true);
        try {
            Callers.post(cluster.http(), url, "chat", body, Map.of()).send();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private int running() {
        return engines.stream().mapToInt(engine -> engine.runs().size()).sum();
    }

    /** Guards against a router that hands the text of a broken answer to an engine of another software version. */
    @Test
    void answersOfACrashedEngineContinueAtItsSoftwareVersion() throws Exception {
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < CALLS; i++) {
                int number = i;
                callers.execute(() -> ask(number));
            }
            while (running() < CALLS) {
                Thread.sleep(10);
            }
            Thread.sleep(300);
            engines.get(0).crash(DOWN_MILLIS);
        }
        Set<String> broken = engines.get(0).runs().keySet();
        assertFalse(Collections.disjoint(broken, engines.get(1).continuedAnswers()));
        assertTrue(Collections.disjoint(broken, engines.get(2).continuedAnswers()));
        assertTrue(Collections.disjoint(broken, engines.get(3).continuedAnswers()));
    }
}
