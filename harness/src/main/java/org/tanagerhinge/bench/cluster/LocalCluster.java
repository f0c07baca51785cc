package org.tanagerhinge.bench.cluster;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.tanagerhinge.agent.AgentDaemon;
import org.tanagerhinge.core.agent.AgentOptions;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.core.router.RouterOptions;
import org.tanagerhinge.node.daemon.GracefulStop;
import org.tanagerhinge.node.daemon.HttpClients;
import org.tanagerhinge.node.metrics.NodeMetrics;
import org.tanagerhinge.node.platform.ConfigStore;
import org.tanagerhinge.node.platform.EtcdStore;
import org.tanagerhinge.router.RouterDaemon;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.EngineStandin;
import org.tanagerhinge.standin.PlatformStandin;
import org.tanagerhinge.standin.ServiceStandin;
import org.tanagerhinge.wire.SharedSecret;

/** Runs routers, agents, stand-in engines and services, and a stand-in platform on loopback; each can be restarted. */
public final class LocalCluster implements AutoCloseable {
    /** Model that all engines serve. */
    public static final String MODEL = "tanager-8b";
    /** Name of the plain service that all service stand-ins provide. */
    public static final String SERVICE = "jobs";

    /** Secret that the routers and agents of a cluster share. */
    public static final String SECRET_TEXT = "local-cluster-secret";

    private static final SharedSecret SECRET = SharedSecret.of(SECRET_TEXT);
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration PEER_IDLE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final int NAIVE_TIER = 3;
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Lists the kinds of cluster that can be measured. */
    public enum Kind {
        /** The product with its default policies. */
        PRODUCT,
        /** Round robin without limits, queue order or retries. */
        NAIVE
    }

    private final Kind kind;
    private final HttpClient http = HttpClients.started("cluster");
    private final PlatformStandin platform = PlatformStandin.start(0);
    private final Map<String, EngineStandin> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandin> services = new LinkedHashMap<>();
    private final Map<String, AgentDaemon> agents = Collections.synchronizedMap(new LinkedHashMap<>());
    private final Map<String, RouterDaemon> routers = Collections.synchronizedMap(new LinkedHashMap<>());
    private final List<NodeMetrics> allMetrics = Collections.synchronizedList(new ArrayList<>());
    private final ConfigStore store;

    private int maxBodyBytes = MAX_BODY_BYTES;

    private LocalCluster(Kind kind) {
        this.kind = kind;
        this.store = ConfigStore.in(EtcdStore.at(http, platform.url(), PLATFORM_TIMEOUT));
    }

    /** Starts a cluster that has only the stand-in platform. */
    public static LocalCluster create(Kind kind) {
        return new LocalCluster(kind);
    }

    /** Sets the largest request body that routers take which are added from now on. */
    public LocalCluster maxBodyBytes(int bytes) {
        maxBodyBytes = bytes;
        return this;
    }

    /** Stores the profiles; the naive kind gets them without tiers, shares and queue limits. */
    public LocalCluster profiles(ProfilesDocument document) throws TanagerhingeException {
        long baseRevision = store.read().profiles().revision();
        List<Profile> effective = kind == Kind.PRODUCT
                ? document.profiles()
                : document.profiles().stream().map(LocalCluster::toNaiveProfile).toList();
        store.editProfiles(
                baseRevision,
                current -> new ProfilesDocument(
                        current.revision(), current.changeIds(), effective, document.workspaces()));
        return this;
    }

    /** Returns a profile with the common tier, no share and no effective queue limit. */
    private static Profile toNaiveProfile(Profile profile) {
        return new Profile(
                profile.name(),
                NAIVE_TIER,
                profile.idempotent(),
                profile.firstTokenTarget(),
                profile.completionTarget(),
                profile.interTokenTarget(),
                profile.percentile(),
                profile.deadline(),
                0,
                100_000,
                0,
                0);
    }

    /** Adds an engine and its agent. */
    public LocalCluster engine(String name, String domain, EngineModel model) throws TanagerhingeException {
        EngineStandin engine = EngineStandin.start(0, model);
        engines.put(name, engine);
        startAgent(name, 0);
        registerServer(name, domain, ServerKind.MODEL, MODEL);
        return this;
    }

    /** Adds a plain service and its agent. */
    public LocalCluster service(String name, String domain, int concurrency, long callMillis)
            throws TanagerhingeException {
        ServiceStandin service = ServiceStandin.start(0, concurrency, callMillis);
        services.put(name, service);
        startAgent(name, 0);
        registerServer(name, domain, ServerKind.SERVICE, SERVICE);
        return this;
    }

    /** Registers the server of a plain service at a URL, and starts its agent. */
    public LocalCluster serviceAt(String url, String name, String domain, String service) throws TanagerhingeException {
        startAgent(name, 0, url);
        registerServer(name, domain, ServerKind.SERVICE, service);
        return this;
    }

    private void registerServer(String name, String domain, ServerKind serverKind, String target)
            throws TanagerhingeException {
        BackendServer server = new BackendServer(
                ServerId.of(name),
                "127.0.0.1:" + agents.get(name).port(),
                FailureDomain.of(domain),
                serverKind,
                java.util.Set.of(TargetName.of(target)),
                DesiredServerState.SERVING);
        long baseRevision = store.read().servers().revision();
        store.editServers(baseRevision, document -> document.withServer(server));
    }

    /** Starts an agent for an existing backend server on the given port, or on a free one if 0. */
    public void startAgent(String name, int port) throws TanagerhingeException {
        startAgent(
                name,
                port,
                engines.containsKey(name)
                        ? engines.get(name).url()
                        : services.get(name).url());
    }

    private void startAgent(String name, int port, String url) throws TanagerhingeException {
        AgentOptions options = kind == Kind.PRODUCT
                ? AgentOptions.defaults()
                : AgentOptions.defaults().withConcurrency(new AgentOptions.ConcurrencyPolicy.Unbounded());
        AgentDaemon agent = AgentDaemon.start(new AgentDaemon.Parts(
                ServerId.of(name),
                new InetSocketAddress("127.0.0.1", port),
                ANY_PORT,
                SECRET,
                options,
                url,
                "/health",
                http,
                EtcdStore.at(http, platform.url(), PLATFORM_TIMEOUT),
                POLL_INTERVAL.multipliedBy(20),
                PEER_IDLE_TIMEOUT,
                AgentDaemon.ConnectionBounds.DEFAULT,
                STOP_TIMEOUT));
        agents.put(name, agent);
        allMetrics.add(agent.metrics());
    }

    /** Stops an agent at once, without draining, and returns its port. */
    public int killAgent(String name) {
        AgentDaemon agent = agents.remove(name);
        int port = agent.port();
        agent.close();
        return port;
    }

    /** Stops an agent as SIGTERM does, and returns its port. */
    public int stopAgent(String name) {
        AgentDaemon agent = agents.remove(name);
        int port = agent.port();
        GracefulStop.run(agent, System.nanoTime());
        return port;
    }

    /** Adds a router. */
    public LocalCluster router(String name, String domain) throws TanagerhingeException {
        return router(name, domain, 0);
    }

    /** Adds a router on the given port, or on a free one if 0. */
    public LocalCluster router(String name, String domain, int port) throws TanagerhingeException {
        RouterOptions options = RouterOptions.defaults(FailureDomain.of(domain));
        RouterDaemon router = RouterDaemon.start(new RouterDaemon.Parts(
                name,
                new InetSocketAddress("127.0.0.1", port),
                SECRET,
                kind == Kind.PRODUCT ? options : options.withPolicy(new RouterOptions.Policy.RoundRobin()),
                EtcdStore.at(http, platform.url(), PLATFORM_TIMEOUT),
                POLL_INTERVAL,
                PEER_IDLE_TIMEOUT,
                maxBodyBytes,
                RouterDaemon.CallerBounds.DEFAULT,
                STOP_TIMEOUT));
        routers.put(name, router);
        allMetrics.add(router.metrics());
        return this;
    }

    /** Stops a router at once, without draining, and returns its port. */
    public int killRouter(String name) {
        RouterDaemon router = routers.remove(name);
        int port = router.port();
        router.close();
        return port;
    }

    /** Stops a router as SIGTERM does, and returns its port. */
    public int stopRouter(String name) {
        RouterDaemon router = routers.remove(name);
        int port = router.port();
        GracefulStop.run(router, System.nanoTime());
        return port;
    }

    /** Waits until every router is linked to every agent and all have the newest configuration. */
    public LocalCluster awaitReady() throws TanagerhingeException {
        ServersDocument servers = store.read().servers();
        long profiles = store.read().profiles().revision();
        await(() -> routers.values().stream()
                .allMatch(router -> router.linkCount() >= agents.size()
                        && router.revision().servers() >= servers.revision()
                        && router.revision().profiles() >= profiles));
        await(() -> agents.values().stream()
                .allMatch(agent -> agent.revision().servers() >= servers.revision()
                        && agent.revision().profiles() >= profiles));
        return this;
    }

    /** Waits until every node has the given configuration revision or a newer one. */
    public void await(ConfigRevision revision) {
        await(() -> routers.values().stream()
                        .noneMatch(router -> router.revision().isBehind(revision))
                && agents.values().stream().noneMatch(agent -> agent.revision().isBehind(revision)));
    }

    /** Waits until a condition holds; throws {@link IllegalStateException} if it does not within 20 seconds. */
    public static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("awaited condition did not hold within 20 s");
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            }
        }
    }

    /** Sets the desired state of a backend server. */
    public void setDesiredState(String name, DesiredServerState state) throws TanagerhingeException {
        long baseRevision = store.read().servers().revision();
        ServerId id = ServerId.of(name);
        store.editServers(
                baseRevision,
                document ->
                        document.withServer(document.server(id).orElseThrow().withDesiredState(state)));
    }

    public PlatformStandin platform() {
        return platform;
    }

    public ConfigStore store() {
        return store;
    }

    public HttpClient http() {
        return http;
    }

    /** Returns the stand-in of an engine. */
    public EngineStandin engine(String name) {
        return engines.get(name);
    }

    /** Returns the stand-in of a plain service. */
    public ServiceStandin service(String name) {
        return services.get(name);
    }

    /** Returns a running agent. */
    public AgentDaemon agent(String name) {
        return agents.get(name);
    }

    /** Returns a running router. */
    public RouterDaemon router(String name) {
        return routers.get(name);
    }

    /** Returns the names of the engines. */
    public List<String> engineNames() {
        return List.copyOf(engines.keySet());
    }

    /** Returns the names of all backend servers. */
    public List<String> serverNames() {
        List<String> names = new ArrayList<>(engines.keySet());
        names.addAll(services.keySet());
        return names;
    }

    /** Returns the base URLs of the routers. */
    public List<String> routerUrls() {
        return routers.values().stream()
                .map(router -> "http://127.0.0.1:" + router.port())
                .toList();
    }

    /** Returns the number of runs of each call over all backend servers. */
    public Map<String, Integer> runs() {
        Map<String, Integer> runs = new HashMap<>();
        engines.values()
                .forEach(engine -> engine.runs().forEach((call, count) -> runs.merge(call, count, Integer::sum)));
        services.values()
                .forEach(service -> service.runs().forEach((call, count) -> runs.merge(call, count, Integer::sum)));
        return runs;
    }

    /** Returns the tokens that all engines have computed. */
    public long tokens() {
        return engines.values().stream().mapToLong(EngineStandin::tokens).sum();
    }

    /** Returns the metric lines of all nodes, including stopped ones, that start with a prefix. */
    public List<String> metricLines(String prefix) {
        return allMetrics.stream()
                .flatMap(metrics -> metrics.text().lines())
                .filter(line -> line.startsWith(prefix))
                .toList();
    }

    /** Returns the number of invariant violations on all nodes. */
    public long violations() {
        return metricLines("tanagerhinge_invariant_checks_total").stream()
                .filter(line -> line.contains("result=\"violated\""))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    @Override
    public void close() {
        routers.values().forEach(RouterDaemon::close);
        agents.values().forEach(AgentDaemon::close);
        engines.values().forEach(EngineStandin::close);
        services.values().forEach(ServiceStandin::close);
        platform.close();
        try {
            http.stop();
        } catch (Exception e) {
            System.getLogger(LocalCluster.class.getName()).log(System.Logger.Level.DEBUG, "stop", e);
        }
    }
}
