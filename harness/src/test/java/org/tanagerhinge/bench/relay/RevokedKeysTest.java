package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against requests that run without a valid key while no workspace has one. */
class RevokedKeysTest {
    private static final int SERVED = 200;
    private static final int UNKNOWN_KEY = 401;

    private RelayScene scene;

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.route("/safe/", "safe", "plain");
        scene.server("p-1", "plain", ServerStandin.plain(SERVED, "answer"));
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    /** Publishes the configuration, and waits until all gateways answer a request with a key by it. */
    private void publish(List<GatewayDaemon> gateways, int status) {
        scene.platform.publish();
        RelayScene.await(() -> gateways.stream().allMatch(gateway -> RelayScene.status(gateway, "/safe/x") == status));
    }

    @Test
    void requestsNeedAKeyFromTheStartUntilOneIsAddedAndAfterItIsRevoked() throws IOException {
        scene.platform.workspaceWithoutKeys("coop");
        scene.platform.publish();
        List<GatewayDaemon> gateways = List.of(scene.gateway(), scene.gateway());
        for (GatewayDaemon gateway : gateways) {
            assertEquals(UNKNOWN_KEY, RelayScene.status(gateway, "/safe/x"));
        }
        scene.platform.workspace("salon", "key-1");
        publish(gateways, SERVED);
        scene.platform.dropWorkspaces();
        scene.platform.workspaceWithoutKeys("salon");
        publish(gateways, UNKNOWN_KEY);
        GatewayDaemon late = scene.gateway();
        assertEquals(UNKNOWN_KEY, RelayScene.status(late, "/safe/x"));
    }
}
