package org.tanagerhinge.standin.relay;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.FreePorts;

/** Runs a store and backend servers on loopback for gateway processes, and sends requests to these gateways. */
public final class GatewayFixture implements AutoCloseable {
    /** Timeout of the route for streams; that of the others is {@link PlatformFixture#TIMEOUT_MILLIS}. */
    public static final int STREAM_TIMEOUT_MILLIS = 15_000;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    private final StoreStandin store = StoreStandin.start(0);
    private final PlatformFixture platform = PlatformFixture.in(store);
    private final DutyStandin duties = DutyStandin.start();
    private final List<ServerStandin> servers = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private GatewayFixture() {}

    /** Starts a fixture with a route of each kind for requests to the gateways' address. */
    static GatewayFixture open() {
        return open("127.0.0.1");
    }

    /** Starts a fixture with a route of each kind for requests to a host. */
    public static GatewayFixture open(String host) {
        GatewayFixture scene = new GatewayFixture();
        scene.platform.host(host);
        scene.platform.service("plain", 0);
        scene.platform.service("model", 96);
        scene.platform.route("/plain/", "safe", "plain");
        scene.platform.route("/once/", "unsafe", "plain");
        scene.platform
                .route("/stream/", "streaming", "model")
                .put(PlatformNames.TIMEOUT_MILLIS, STREAM_TIMEOUT_MILLIS)
                .put(PlatformNames.RESUMABLE, true);
        scene.platform.workspace("coop", "key-1");
        return scene;
    }

    /** Starts a server and registers it. */
    public void server(String id, String service, ServerStandin.ResponseScript script) {
        ServerStandin server = ServerStandin.start(id, script);
        servers.add(server);
        register(server, service);
    }

    /** Registers a server that the caller closes. */
    public void register(ServerStandin server, String service) {
        platform.register(server, service, "ready");
    }

    /** Adds a route for streams that must not be resumed. */
    public void streamRoute(String prefix, String service) {
        platform.route(prefix, "streaming", service).put(PlatformNames.TIMEOUT_MILLIS, STREAM_TIMEOUT_MILLIS);
    }

    /** Adds a route of a kind to a new service without engines. */
    public void route(String prefix, String kind, String service) {
        platform.service(service, 0);
        platform.route(prefix, kind, service);
    }

    /** Removes a server's registration. */
    public void unregister(String id) {
        servers.stream().filter(server -> server.id().equals(id)).forEach(platform::unregister);
    }

    /** Returns the store. */
    public StoreStandin store() {
        return store;
    }

    /** Returns whether a server has received a request whose id starts with a text. */
    public boolean received(String id) {
        return servers.stream()
                .flatMap(server -> server.receivedRequests().stream())
                .anyMatch(request -> request.header(PlatformNames.ATTEMPT_ID).startsWith(id));
    }

    /** Writes the configuration as a new version. */
    public synchronized void publish() {
        platform.publish();
    }

    /** Ports of a gateway for callers, for its status and for its peers. */
    public record Ports(int listenPort, int statusPort, int peerPort) {}

    /** Writes the settings file of a gateway with free ports, and returns these. */
    public Ports settings(Path file, String name) throws IOException {
        return writeSettings(file, name, store, duties);
    }

    /** Writes the settings file of a gateway with free ports at a store and a place for duties, and returns its ports. */
    public static Ports writeSettings(Path file, String name, StoreStandin store, DutyStandin duties)
            throws IOException {
        Ports ports = new Ports(FreePorts.next(), FreePorts.next(), FreePorts.next());
        Files.writeString(file, """
                [gateway]
                name = %s
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
                [duties]
                address = 127.0.0.1:%d
                lease = 1s
                usage_window = 1s
                usage_late = 6s
                """.formatted(
                        name,
                        ports.listenPort(),
                        ports.statusPort(),
                        ports.peerPort(),
                        store.address().getPort(),
                        duties.address().getPort()));
        return ports;
    }

    /** Rejects following usage reports of a gateway, so that another one takes over the duty. */
    void fence(String name) {
        duties.fence(name);
    }

    /** Waits until a gateway is ready; throws if it is not ready within the start timeout. */
    public void awaitReady(Ports ports) throws IOException, InterruptedException {
        URI readiness = URI.create("http://127.0.0.1:" + ports.statusPort() + PlatformNames.READINESS_PATH);
        long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!ready(readiness)) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("gateway at " + ports + " was not ready after " + START_TIMEOUT);
            }
            Thread.sleep(10);
        }
    }

    private boolean ready(URI readiness) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(readiness).timeout(Duration.ofSeconds(1)).build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Sends a request and waits for the response.
     *
     * @return the status; 0 without a response
     */
    int send(Ports ports, String path, String id, String parts) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ports.listenPort() + path))
                .timeout(CALL_TIMEOUT)
                .header("Authorization", "Token key-1")
                .header(PlatformNames.ATTEMPT_ID, id)
                .header(PlatformNames.DEADLINE, "4000")
                .header(PlatformNames.MODEL, "m")
                .header(PlatformNames.TOKEN_COUNT, "3000,80")
                .header(PlatformNames.PROMPT_PREFIX, parts)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() {
        servers.forEach(ServerStandin::close);
        store.close();
        duties.close();
    }
}
