package org.tanagerhinge.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** Creates options of gateways for several tests. */
final class GatewayOptionsFixture {
    private GatewayOptionsFixture() {}

    /** Returns options of a gateway without metrics and duties that uses one address for all purposes. */
    static GatewayOptions at(InetSocketAddress address) {
        return new GatewayOptions(
                "gateway-0",
                "north",
                address,
                address,
                Optional.empty(),
                address,
                new GatewayOptions.Bounds(Duration.ofSeconds(1), 0.2, 50, Duration.ofSeconds(10)),
                GatewayOptions.Limits.DEFAULT,
                true,
                Optional.empty(),
                Set.of());
    }
}
