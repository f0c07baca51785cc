package org.tanagerhinge.agent;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.tanagerhinge.core.agent.AgentOptions;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.node.daemon.DaemonCommand;
import org.tanagerhinge.node.settings.Setting;
import org.tanagerhinge.node.settings.Settings;
import org.tanagerhinge.wire.SharedSecret;

/** Settings of the agent's INI file. */
public final class AgentSettings {
    static final Setting<ServerId> NAME =
            Setting.id("agent", "name", ServerId::of, "the backend server's id in the servers document");
    static final Setting<InetSocketAddress> LISTEN_ADDRESS =
            Setting.address("agent", "listen", null, "where routers connect");
    static final Setting<InetSocketAddress> METRICS_ADDRESS =
            Setting.address("agent", "metrics", null, "where /metrics, /healthz and /readyz are served");
    static final Setting<Duration> STOP_TIMEOUT =
            Setting.duration("agent", "stop_timeout", "10m", "maximum time of a graceful stop");
    static final Setting<String> BACKEND_URL =
            Setting.text("backend", "url", null, "base URL of the backend server, for example http://127.0.0.1:8000");
    static final Setting<String> PROBE_PATH =
            Setting.text("backend", "probe", "/health", "path of the backend server's health check");
    static final Setting<String> PLATFORM_URL =
            Setting.text("platform", "url", null, "base URL of the platform's key-value service");
    static final Setting<Duration> PLATFORM_TIMEOUT =
            Setting.duration("platform", "timeout", "2s", "timeout of a call to the platform");
    static final Setting<Duration> PLATFORM_POLL_INTERVAL = Setting.duration(
            "platform",
            "poll",
            "1m",
            "polling interval of the configuration while a router is connected; 1s while none is");
    static final Setting<SharedSecret> SECRET = new Setting<>(
            "security",
            "shared_secret",
            "16 characters or more",
            SharedSecret::of,
            java.util.Optional.empty(),
            "the secret that routers and agents share");
    static final Setting<Integer> MAX_QUEUED_REQUESTS =
            Setting.integer("limits", "queue_bound", 1, 1_000_000, 1024, "maximum number of queued requests");
    static final Setting<Integer> MAX_QUEUED_MEGABYTES =
            Setting.integer("limits", "queue_megabytes", 1, 4096, 64, "maximum size of all queued request bodies");
    static final Setting<Integer> INITIAL_CONCURRENCY =
            Setting.integer("limits", "concurrency_start", 1, 4096, 8, "initial concurrency limit");
    static final Setting<Integer> MAX_CONCURRENCY =
            Setting.integer("limits", "concurrency_most", 1, 4096, 512, "maximum concurrency limit");
    static final Setting<Duration> PEER_IDLE_TIMEOUT = Setting.duration(
            "links", "idle", "3s", "time without a frame from a router after which its link is closed");
    static final Setting<Integer> MAX_UNAUTHENTICATED = Setting.integer(
            "links",
            "unauthenticated",
            1,
            100_000,
            AgentDaemon.ConnectionBounds.DEFAULT.unauthenticated(),
            "maximum number of connections of hosts that have not proved that they are routers");
    static final Setting<Integer> MAX_STATUS_CONNECTIONS = Setting.integer(
            "limits",
            "status_connections",
            4,
            100_000,
            AgentDaemon.ConnectionBounds.DEFAULT.status(),
            "maximum number of connections for metrics and checks");
    static final Setting<Integer> STATUS_MEMORY_KILOBYTES = Setting.integer(
            "limits",
            "status_memory_kilobytes",
            64,
            1 << 20,
            AgentDaemon.ConnectionBounds.DEFAULT.statusMemoryBytes() >> 10,
            "memory for incomplete heads of requests for metrics and checks");

    private AgentSettings() {}

    /** Returns all settings, against which a file is checked. */
    public static List<Setting<?>> all() {
        return List.of(
                DaemonCommand.REQUEST_LINES,
                NAME,
                LISTEN_ADDRESS,
                METRICS_ADDRESS,
                STOP_TIMEOUT,
                BACKEND_URL,
                PROBE_PATH,
                PLATFORM_URL,
                PLATFORM_TIMEOUT,
                PLATFORM_POLL_INTERVAL,
                SECRET,
                MAX_QUEUED_REQUESTS,
                MAX_QUEUED_MEGABYTES,
                INITIAL_CONCURRENCY,
                MAX_CONCURRENCY,
                PEER_IDLE_TIMEOUT,
                MAX_UNAUTHENTICATED,
                MAX_STATUS_CONNECTIONS,
                STATUS_MEMORY_KILOBYTES);
    }

    static AgentOptions options(Settings settings) {
        return AgentOptions.defaults()
                .withQueue(settings.value(MAX_QUEUED_REQUESTS), (long) settings.value(MAX_QUEUED_MEGABYTES) << 20)
                .withConcurrency(new AgentOptions.ConcurrencyPolicy.Adaptive(
                        settings.value(INITIAL_CONCURRENCY), settings.value(MAX_CONCURRENCY)));
    }
}
