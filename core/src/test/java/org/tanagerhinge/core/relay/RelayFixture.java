package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;
import java.util.List;

/** Creates routes and registrations for several tests. */
final class RelayFixture {
    private RelayFixture() {}

    static ServerRegistration registration(String id, boolean draining) {
        return new ServerRegistration(
                id, 0, "v1", "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, draining);
    }

    static ServerRegistration registration(String id, long startedAtMillis) {
        return new ServerRegistration(
                id, startedAtMillis, "v1", "model", new InetSocketAddress("127.0.0.1", 1), "north", 48, false);
    }

    static Route route(RouteKind kind, boolean resumable, int attempts) {
        return new Route(
                "r",
                "h",
                "/",
                kind,
                resumable,
                List.of(new WeightedService("model", 1)),
                attempts,
                5000,
                300,
                120,
                0,
                false,
                true);
    }
}
