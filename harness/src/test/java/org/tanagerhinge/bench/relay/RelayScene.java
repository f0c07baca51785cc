package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.tanagerhinge.core.duty.DutySettings;
import org.tanagerhinge.core.relay.PlacementPolicy;
import org.tanagerhinge.core.relay.PromptAwarePlacement;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.gateway.GatewayOptions;
import org.tanagerhinge.platform.PlatformGateway;
import org.tanagerhinge.standin.FreePorts;
import org.tanagerhinge.standin.relay.DutyStandin;
import org.tanagerhinge.standin.relay.PlatformFixture;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.standin.relay.StoreStandin;

/** A store, backend servers and gateways in one process, for tests of the relay from outside. */
final class RelayScene implements AutoCloseable {
    static final double RETRY_RATIO = 0.2;
    static final double RETRY_SLACK = 50;

    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

    final StoreStandin store = StoreStandin.start(0);
    final PlatformFixture platform = PlatformFixture.in(store);
    final DutyStandin duties = DutyStandin.start();
    private final List<ServerStandin> servers = new ArrayList<>();
    private final List<GatewayDaemon> gateways = new ArrayList<>();
    private final Map<GatewayDaemon, InetSocketAddress> peerAddresses = new HashMap<>();
    /** Whether a gateway has ended, so that those started later aren't part of the fleet's first start. */
    private boolean anyStopped;

    /** Returns a scene with the service {@code plain} behind {@code /safe/}. */
    static RelayScene withPlainService() {
        RelayScene scene = new RelayScene();
        scene.platform.service("plain", 0);
        scene.platform.route("/safe/", "safe", "plain");
        scene.platform.workspace("coop", "key-1");
        scene.platform.publish();
        return scene;
    }

    /** Starts a server and registers it. */
    ServerStandin server(String id, String service, ServerStandin.ResponseScript script) {
        return server(id, service, "", script);
    }

    /** Starts a server of a software version and registers it. */
    ServerStandin server(String id, String service, String softwareVersion, ServerStandin.ResponseScript script) {
        ServerStandin server = ServerStandin.start(id, softwareVersion, script);
        servers.add(server);
        platform.register(server, service, "ready");
        return server;
    }

    /** Starts a gateway and waits until it is ready. */
    GatewayDaemon gateway() throws IOException {
        GatewayDaemon gateway = start("gateway-" + gateways.size(), store.address());
        await(gateway::ready);
        return gateway;
    }

    /** Starts a gateway that places requests by a policy, and waits until it is ready. */
    GatewayDaemon gateway(PlacementPolicy placement) throws IOException {
        GatewayDaemon gateway = start("gateway-" + gateways.size(), store.address(), Optional.empty(), placement);
        await(gateway::ready);
        return gateway;
    }

    /** Starts a gateway that may never become ready, at a store of its own choice. */
    GatewayDaemon start(String name, InetSocketAddress storeAddress) throws IOException {
        return start(name, storeAddress, Optional.empty(), PromptAwarePlacement.create());
    }

    /** Starts a gateway that takes part in duties, and waits until it is ready. */
    GatewayDaemon gatewayWithDuties(String name, Duration lease, Duration window) throws IOException {
        DutySettings terms =
                new DutySettings(name, lease, lease, true, Duration.ofSeconds(13), window, window.multipliedBy(4));
        GatewayDaemon gateway = start(
                name,
                store.address(),
                Optional.of(new GatewayOptions.DutyOptions(terms, 100)),
                PromptAwarePlacement.create());
        await(gateway::ready);
        return gateway;
    }

    private GatewayDaemon start(
            String name,
            InetSocketAddress storeAddress,
            Optional<GatewayOptions.DutyOptions> dutyOptions,
            PlacementPolicy placement)
            throws IOException {
        GatewayOptions options = new GatewayOptions(
                name,
                "north",
                FreePorts.address(),
                FreePorts.address(),
                Optional.empty(),
                FreePorts.address(),
                new GatewayOptions.Bounds(Duration.ofSeconds(8), RETRY_RATIO, RETRY_SLACK, Duration.ofSeconds(10)),
                GatewayOptions.Limits.DEFAULT,
                !anyStopped,
                dutyOptions,
                Set.of());
        GatewayDaemon gateway = PlatformGateway.start(
                options, placement, new PlatformGateway.Addresses(storeAddress, Optional.of(duties.address())));
        gateways.add(gateway);
        peerAddresses.put(gateway, options.peerAddress());
        return gateway;
    }

    /** Returns where a gateway hears its peers. */
    InetSocketAddress peerAddress(GatewayDaemon gateway) {
        return peerAddresses.get(gateway);
    }

    /** Ends a gateway. */
    void stop(GatewayDaemon gateway) {
        anyStopped = true;
        gateways.remove(gateway);
        gateway.close();
    }

    /** Ends gateways at the same time. */
    void stopTogether(List<GatewayDaemon> ended) {
        anyStopped = true;
        gateways.removeAll(ended);
        List<Thread> ends = ended.stream()
                .map(gateway -> Thread.ofVirtual().start(gateway::close))
                .toList();
        for (Thread end : ends) {
            try {
                end.join();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Sends a GET request to a gateway and returns the status of the response. */
    static int status(GatewayDaemon gateway, String path) {
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            return caller.exchange(RawCaller.request("GET", path, "a", "", "")).status();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits until something holds; fails if it never does. */
    static void await(BooleanSupplier condition) {
        await(condition, POLL_INTERVAL);
    }

    /** Waits until something holds, which is checked at an interval; fails if it never does. */
    static void await(BooleanSupplier condition, Duration interval) {
        long until = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - until > 0) {
                throw new AssertionError("did not come to hold");
            }
            LockSupport.parkNanos(interval.toNanos());
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void close() {
        gateways.forEach(GatewayDaemon::close);
        servers.forEach(ServerStandin::close);
        store.close();
        duties.close();
    }
}
