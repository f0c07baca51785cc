package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against requests that are refused, without having run, after three servers of which others serve. */
class UnreachableServersTest {
    private static final int SERVERS = 8;
    private static final int REQUESTS = 12;
    /** Longer than the first ejection of a server. */
    private static final long EJECTED_MILLIS = 1_200;

    private RelayScene scene;
    private final List<ServerStandin> servers = new ArrayList<>();

    @BeforeEach
    void setUp() {
        scene = new RelayScene();
        scene.platform.service("model", 8);
        scene.platform.service("plain", 0);
        scene.platform.route("/ask/", "streaming", "model").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.route("/fetch/", "unsafe", "plain").put(PlatformNames.MAX_ATTEMPTS, 1);
        scene.platform.publish();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private static int request(GatewayDaemon gateway, String path, int id) throws IOException {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("POST", path + id, "attempt-" + id, "", "{}"))
                    .status();
        }
    }

    @ParameterizedTest
    @CsvSource({"/ask/, model", "/fetch/, plain"})
    void requestsReachTheServersThatServe(String path, String service) throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(scene.server(
                    "s-" + i,
                    service,
                    service.equals("model") ? ServerStandin.events(2, 1) : ServerStandin.plain(200, "ok")));
        }
        GatewayDaemon gateway = scene.gateway();
        servers.subList(1, SERVERS - 1).forEach(ServerStandin::close);
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            statuses.add(request(gateway, path, i));
        }
        RelayScene.sleep(EJECTED_MILLIS);
        for (int i = 0; i < REQUESTS; i++) {
            statuses.add(request(gateway, path, REQUESTS + i));
        }
        assertEquals(
                List.of(), statuses.stream().filter(status -> status != 200).toList());
    }
}
