package org.tanagerhinge.router;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.router.RouterOptions;
import org.tanagerhinge.node.daemon.DaemonCommand;
import org.tanagerhinge.node.settings.Setting;
import org.tanagerhinge.node.settings.Settings;
import org.tanagerhinge.wire.SharedSecret;

/** Settings of the router's INI file. */
public final class RouterSettings {
    static final Setting<ServerId> NAME = Setting.id("router", "name", ServerId::of, "name of this router");
    static final Setting<FailureDomain> DOMAIN =
            Setting.id("router", "failure_domain", FailureDomain::of, "failure domain of this host");
    static final Setting<InetSocketAddress> LISTEN_ADDRESS =
            Setting.address("router", "listen", null, "where callers connect; also /metrics, /healthz and /readyz");
    static final Setting<Duration> STOP_TIMEOUT =
            Setting.duration("router", "stop_timeout", "10m", "maximum time of a graceful stop");
    static final Setting<String> PLATFORM_URL =
            Setting.text("platform", "url", null, "base URL of the platform's key-value service");
    static final Setting<Duration> PLATFORM_TIMEOUT =
            Setting.duration("platform", "timeout", "2s", "timeout of a call to the platform");
    static final Setting<Integer> EXPECTED_ROUTERS = Setting.integer(
            "platform",
            "routers",
            1,
            100_000,
            2,
            "approximate number of routers, from which the polling interval and each one's part of the retry slack follow");
    static final Setting<SharedSecret> SECRET = new Setting<>(
            "security",
            "shared_secret",
            "16 characters or more",
            SharedSecret::of,
            Optional.empty(),
            "the secret that routers and agents share");
    static final Setting<Integer> MAX_BODY_KILOBYTES =
            Setting.integer("limits", "body_kilobytes", 1, 65_536, 4096, "maximum size of a request body");
    static final Setting<Integer> MAX_CONNECTIONS = Setting.integer(
            "limits",
            "connections",
            16,
            1_000_000,
            RouterDaemon.CallerBounds.DEFAULT.connections(),
            "maximum number of open connections of callers");
    static final Setting<Integer> CALLER_MEMORY_PERCENT = Setting.integer(
            "limits",
            "caller_memory_percent",
            5,
            75,
            RouterDaemon.CallerBounds.DEFAULT.memoryPercent(),
            "memory for requests of callers, in percent of the heap");
    static final Setting<Integer> MAX_REQUESTS =
            Setting.integer("limits", "requests", 1, 1_000_000, 20_000, "maximum number of requests in flight");
    static final Setting<Integer> MAX_LINKS_PER_TARGET = Setting.integer(
            "links", "per_target", 1, 10_000, 24, "maximum number of connected agents for each model or service");
    static final Setting<Duration> PEER_IDLE_TIMEOUT = Setting.duration(
            "links", "idle", "3s", "time without a frame from an agent after which its link is closed");

    private static final int POLL_CALLS_PER_SECOND = 40;

    private RouterSettings() {}

    /** Returns all settings, against which a file is checked. */
    public static List<Setting<?>> all() {
        return List.of(
                DaemonCommand.REQUEST_LINES,
                NAME,
                DOMAIN,
                LISTEN_ADDRESS,
                STOP_TIMEOUT,
                PLATFORM_URL,
                PLATFORM_TIMEOUT,
                EXPECTED_ROUTERS,
                SECRET,
                MAX_BODY_KILOBYTES,
                MAX_CONNECTIONS,
                CALLER_MEMORY_PERCENT,
                MAX_REQUESTS,
                MAX_LINKS_PER_TARGET,
                PEER_IDLE_TIMEOUT);
    }

    static RouterOptions options(Settings settings) {
        return RouterOptions.defaults(settings.value(DOMAIN))
                .withRouters(settings.value(EXPECTED_ROUTERS))
                .withMaxLinksPerTarget(settings.value(MAX_LINKS_PER_TARGET))
                .withMaxExchanges(settings.value(MAX_REQUESTS));
    }

    /** Returns the interval at which all routers together poll at a fixed rate, at least one second. */
    static Duration pollInterval(int routers) {
        return Duration.ofMillis(Math.max(1000, routers * 1000L / POLL_CALLS_PER_SECOND));
    }
}
