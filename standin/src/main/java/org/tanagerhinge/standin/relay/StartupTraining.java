package org.tanagerhinge.standin.relay;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.tanagerhinge.platform.PlatformNames;

/**
 * Plays a short scene for a gateway process that records which classes it needs: writes its settings, waits until it is
 * ready, sends it requests of each kind, and ends.
 */
@Command(name = "training", description = "Plays a scene for a gateway that records its start-up")
public final class StartupTraining implements Runnable {
    private static final int REQUESTS = 12;
    private static final int LONGEST_WAIT_SECONDS = 60;

    @Option(name = "--settings", description = "Settings file to write for the gateway")
    @Required
    private String settings;

    @Override
    public void run() {
        try (StoreStandin store = StoreStandin.start(0);
                ServerStandin plain = ServerStandin.start("s-1", ServerStandin.plain(200, "body"));
                ServerStandin failing = ServerStandin.start("s-2", ServerStandin.plain(500, "no"));
                ServerStandin engine = ServerStandin.start("e-1", ServerStandin.events(5, 2));
                ServerStandin cutting = ServerStandin.start("e-2", ServerStandin.cutWithin(3))) {
            PlatformScene scene = PlatformScene.in(store);
            scene.host("127.0.0.1");
            scene.service("plain", 0);
            scene.service("model", 8);
            scene.route("/plain/", "safe", "plain");
            scene.route("/once/", "unsafe", "plain");
            scene.route("/stream/", "streaming", "model").put(PlatformNames.RESUMABLE, true);
            scene.workspace("coop", "key-1");
            scene.register(plain, "plain", "ready");
            scene.register(failing, "plain", "ready");
            scene.register(engine, "model", "ready");
            scene.register(cutting, "model", "ready");
            scene.publish();
            play(store);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void play(StoreStandin store) throws IOException, InterruptedException {
        int callers = freePort();
        int status = freePort();
        Files.writeString(Path.of(settings), """
                [gateway]
                name = training
                failure_domain = north
                listen = 127.0.0.1:%d
                status = 127.0.0.1:%d
                peers = 127.0.0.1:%d
                [platform]
                store = 127.0.0.1:%d
                [bounds]
                stop_timeout = 8s
                retry_ratio = 0.2
                retry_slack = 50
                retry_window = 10s
                """.formatted(
                        callers, status, freePort(), store.address().getPort()));
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        URI readiness = URI.create("http://127.0.0.1:" + status + PlatformNames.READINESS);
        for (int i = 0; i < LONGEST_WAIT_SECONDS * 10 && !ready(client, readiness); i++) {
            Thread.sleep(100);
        }
        for (int i = 0; i < REQUESTS; i++) {
            for (String path : new String[] {"plain", "once", "stream", "none"}) {
                send(client, callers, "/" + path + "/" + i, "attempt-" + path + "-" + i);
            }
        }
    }

    private static boolean ready(HttpClient client, URI readiness) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(readiness)
                    .timeout(Duration.ofSeconds(1))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static void send(HttpClient client, int port, String path, String id) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(10))
                .header("Authorization", "Token key-1")
                .header(PlatformNames.ATTEMPT_ID, id)
                .header(PlatformNames.DEADLINE, "4000")
                .header(PlatformNames.MODEL, "m")
                .header(PlatformNames.TOKENS, "3000,80")
                .header(PlatformNames.PARTS, "aa:2000,bb:800,cc:200")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        try {
            client.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            System.err.println(id + ": " + e.getMessage());
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
