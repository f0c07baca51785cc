package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.node.platform.EtcdStore;
import org.tanagerhinge.standin.Answers;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.PlatformStandin;

/** Tests that a keyed call runs once when the platform's store is restored without its claim, over real connections. */
class RestoredClaimsTest {
    private static final String MESSAGE = "a card [length 5]";
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_REPEATS = 60;
    private static final List<String> ROUTERS = List.of("router-1", "router-2", "router-3");

    private LocalCluster cluster;

    /** Processes that are replaced between the run and the restore. */
    enum Replaced {
        /** The router that was granted the claim and all others, one after the other. */
        ALL_ROUTERS,
        /** The router that was granted the claim, and the agent that ran the call. */
        ROUTER_AND_AGENT
    }

    @BeforeEach
    void setUp() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT).profiles(Callers.profiles());
        cluster.platform().stateEra();
        // Claims of this era are settled, so that routers do not wait after their first start.
        EtcdStore.at(cluster.http(), cluster.platform().url(), STORE_TIMEOUT)
                .write("tanagerhinge/claims-settled-era", "1", 0);
        cluster.engine("engine-1", "kita", EngineModel.small()).engine("engine-2", "chuo", EngineModel.small());
        for (String router : ROUTERS) {
            cluster.router(router, "kita");
        }
        cluster.awaitReady();
    }

    @AfterEach
    void tearDown() {
        assertEquals(0, cluster.violations());
        cluster.close();
    }

    /** Guards against a router that refuses keyed calls for a second or two after its start. */
    @Test
    void keyedCallIsServedAsSoonAsTheRouterIsReady() throws Exception {
        replaceRouter(ROUTERS.getFirst());
        assertEquals(200, call(0).getStatus());
    }

    /** Guards against a repeat that runs again because each process that was granted the lost claim has ended. */
    @ParameterizedTest
    @EnumSource
    void repeatDoesNotRunAgain(Replaced replaced) throws Exception {
        PlatformStandin.Copy copy = cluster.platform().copy();
        assertEquals(200, call(0).getStatus());
        String executor = cluster.engineNames().stream()
                .filter(name -> !cluster.engine(name).runs().isEmpty())
                .findFirst()
                .orElseThrow();
        switch (replaced) {
            case ALL_ROUTERS -> {
                for (String router : ROUTERS) {
                    replaceRouter(router);
                }
            }
            case ROUTER_AND_AGENT -> {
                cluster.startAgent(executor, cluster.killAgent(executor));
                replaceRouter(ROUTERS.getFirst());
            }
        }
        cluster.platform().restore(copy);
        // A new claim goes to the other agent, which has no record of the run.
        cluster.setDesiredState(executor, DesiredServerState.LEAVING);
        cluster.awaitReady();

        ContentResponse last = call(1);
        for (int i = 0; i < MAX_REPEATS && isUnsettled(last); i++) {
            Thread.sleep(500);
            last = call(1);
        }
        assertEquals(1, cluster.runs().get(Answers.mark(MESSAGE)), () -> "runs " + cluster.runs());
        switch (replaced) {
            case ALL_ROUTERS -> assertEquals(200, last.getStatus(), "the agent has the answer");
            case ROUTER_AND_AGENT ->
                assertEquals(
                        String.valueOf(ResultCode.OUTCOME_UNKNOWN.number()),
                        last.getHeaders().get(ResultCode.HEADER));
        }
    }

    private static boolean isUnsettled(ContentResponse response) {
        return String.valueOf(ResultCode.CLAIMS_UNSETTLED.number())
                .equals(response.getHeaders().get(ResultCode.HEADER));
    }

    private void replaceRouter(String name) throws Exception {
        cluster.router(name, "kita", cluster.killRouter(name)).awaitReady();
        assertTrue(cluster.router(name).linkCount() > 0);
    }

    private ContentResponse call(int router) throws Exception {
        String url = cluster.routerUrls().get(router) + "/v1/chat/completions";
        return Callers.post(
                        cluster.http(),
                        url,
                        "card",
                        Callers.completion(MESSAGE, true),
                        Map.of("Idempotency-Key", "restored-claim"))
                .send();
    }
}
