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

/** The settings that an agent takes from its INI file. */
public final class AgentSettings {
    static final Setting<ServerId> NAME =
            Setting.id("agent", "name", ServerId::of, "the backend server's id in the servers document");
    static final Setting<InetSocketAddress> LISTEN = Setting.address("agent", "listen", null, "where routers connect");
    static final Setting<InetSocketAddress> METRICS =
            Setting.address("agent", "metrics", null, "where /metrics, /healthz and /readyz are served");
    static final Setting<Duration> STOP_TIMEOUT =
            Setting.duration("agent", "stop_timeout", "10m", "how long a planned stop may take");
    static final Setting<String> BACKEND =
            Setting.text("backend", "url", null, "base URL of the backend server, for example http://127.0.0.1:8000");
    static final Setting<String> PROBE =
            Setting.text("backend", "probe", "/health", "path that answers while the backend server is alive");
    static final Setting<String> PLATFORM =
            Setting.text("platform", "url", null, "base URL of the platform's key-value service");
    static final Setting<Duration> PLATFORM_TIMEOUT =
            Setting.duration("platform", "timeout", "2s", "how long one call to the platform may take");
    static final Setting<Duration> PLATFORM_POLL = Setting.duration(
            "platform", "poll", "1m", "how often the platform is read while routers are linked; 1s while none is");
    static final Setting<SharedSecret> SECRET = new Setting<>(
            "security",
            "shared_secret",
            "16 characters or more",
            SharedSecret::of,
            java.util.Optional.empty(),
            "the secret that routers and agents share");
    static final Setting<Integer> QUEUE_BOUND =
            Setting.whole("limits", "queue_bound", 1, 1_000_000, 1024, "requests queued in all");
    static final Setting<Integer> QUEUE_MEGABYTES =
            Setting.whole("limits", "queue_megabytes", 1, 4096, 64, "request bodies queued in all");
    static final Setting<Integer> CONCURRENCY_START =
            Setting.whole("limits", "concurrency_start", 1, 4096, 8, "concurrency limit before anything is measured");
    static final Setting<Integer> CONCURRENCY_MOST =
            Setting.whole("limits", "concurrency_most", 1, 4096, 512, "greatest concurrency limit");
    static final Setting<Duration> PEER_IDLE =
            Setting.duration("links", "idle", "3s", "how long a router may be silent before it is taken for lost");

    private AgentSettings() {}

    /** Returns all settings, for checking a file. */
    public static List<Setting<?>> all() {
        return List.of(
                DaemonCommand.REQUEST_LINES,
                NAME,
                LISTEN,
                METRICS,
                STOP_TIMEOUT,
                BACKEND,
                PROBE,
                PLATFORM,
                PLATFORM_TIMEOUT,
                PLATFORM_POLL,
                SECRET,
                QUEUE_BOUND,
                QUEUE_MEGABYTES,
                CONCURRENCY_START,
                CONCURRENCY_MOST,
                PEER_IDLE);
    }

    static AgentOptions options(Settings settings) {
        return AgentOptions.defaults()
                .withQueue(settings.value(QUEUE_BOUND), (long) settings.value(QUEUE_MEGABYTES) << 20)
                .withConcurrency(new AgentOptions.ConcurrencyPolicy.Adaptive(
                        settings.value(CONCURRENCY_START), settings.value(CONCURRENCY_MOST)));
    }
}
