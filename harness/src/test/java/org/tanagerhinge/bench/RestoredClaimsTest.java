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
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.node.platform.EtcdStore;
import org.tanagerhinge.standin.EngineModel;

/** Tests that a keyed call runs once when the platform's store is restored without its claim, over real connections. */
class RestoredClaimsTest {
    private static final String MESSAGE = "a card [length 5]";
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final List<String> ROUTERS = List.of("router-1", "router-2", "router-3");

    private LocalCluster cluster;

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
