package org.tanagerhinge.standin.relay;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/**
 * Runs a training workload for a gateway process that records the classes it loads at start-up.
 *
 * <p>Writes the settings of the gateway and of a peer, waits until both are ready, sends requests of each kind,
 * changes the configuration and the servers, and lets the peer and then the gateway report usage.
 */
@Command(name = "training", description = "Runs a training workload for a gateway that records its start-up")
public final class StartupTraining implements Runnable {
    private static final int REQUESTS = 12;
    /** Time until the gateway has received a change from its peer. */
    private static final long CHANGE_MILLIS = 1_500;
    /** Time until the peer, or the gateway after it, holds the duty of usage reports. */
    private static final long DUTY_MILLIS = 4_000;

    private static final String PEER = "a-peer";

    @Option(name = "--settings", description = "Settings file to write for the gateway")
    @Required
    private String settings;

    @Option(
            name = "--peer-settings",
            description = "Settings file to write for its peer, which reads the store for both")
    @Required
    private String peerSettings;

    @Override
    public void run() {
        try (GatewayFixture scene = GatewayFixture.open()) {
            scene.server("s-1", "plain", ServerStandin.plain(200, "body"));
            scene.server("s-2", "plain", ServerStandin.plain(500, "no"));
            scene.server("e-1", "model", ServerStandin.events(5, 2));
            scene.server("e-2", "model", ServerStandin.cutWithin(3));
            scene.publish();
            GatewayFixture.Ports peer = scene.settings(Path.of(peerSettings), PEER);
            scene.awaitReady(peer);
            GatewayFixture.Ports gateway = scene.settings(Path.of(settings), "training");
            scene.awaitReady(gateway);
            send(scene, gateway, "before");
            scene.server("e-3", "model", ServerStandin.refusing());
            scene.publish();
            send(scene, peer, "peer");
            Thread.sleep(CHANGE_MILLIS);
            send(scene, gateway, "after");
            Thread.sleep(DUTY_MILLIS);
            scene.fence(PEER);
            Thread.sleep(DUTY_MILLIS);
            send(scene, gateway, "last");
            Thread.sleep(CHANGE_MILLIS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(GatewayFixture scene, GatewayFixture.Ports ports, String when)
            throws InterruptedException {
        for (int i = 0; i < REQUESTS; i++) {
            for (String path : new String[] {"plain", "once", "stream", "none"}) {
                scene.send(ports, "/" + path + "/" + i, when + "-" + path + "-" + i, "aa:2000,bb:800,cc:200");
            }
        }
    }
}
