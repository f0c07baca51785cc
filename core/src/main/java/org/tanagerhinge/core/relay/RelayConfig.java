package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Holds one immutable version of the operators' configuration, indexed for lookups. */
public final class RelayConfig {
    private final long version;
    private final Map<String, Map<String, Route>> routes = new HashMap<>();
    private final Map<String, ServiceConfig> services = new HashMap<>();
    private final Map<String, WorkspaceConfig> workspaceByKey;
    private final boolean requiresKey;
    private final CallerLimits limits;
    private final List<Integer> workspaceRanks;
    private final List<Integer> routeRanks;
    private final Map<String, List<Integer>> ranksByService = new HashMap<>();

    private RelayConfig(
            long version,
            List<Route> routes,
            List<ServiceConfig> services,
            Map<String, WorkspaceConfig> workspaceByKey,
            boolean requiresKey,
            CallerLimits limits) {
        this.version = version;
        for (Route route : routes) {
            this.routes.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route);
        }
        for (ServiceConfig service : services) {
            this.services.put(service.name(), service);
        }
        this.workspaceByKey = Map.copyOf(workspaceByKey);
        this.requiresKey = requiresKey;
        this.limits = limits;
        this.workspaceRanks = workspaceByKey.values().stream()
                .flatMap(workspace -> workspace.priority().stream().boxed())
                .distinct()
                .sorted()
                .toList();
        for (Route route : routes) {
            for (WeightedService share : route.weightedServices()) {
                ranksByService
                        .computeIfAbsent(share.service(), name -> new ArrayList<>())
                        .add(route.priority());
            }
        }
        ranksByService.replaceAll(
                (name, ranks) -> ranks.stream().distinct().sorted().toList());
        this.routeRanks =
                routes.stream().map(Route::priority).distinct().sorted().toList();
    }

    /**
     * Creates a configuration.
     *
     * @param workspaceByKey workspaces by API key; empty if callers need no keys
     */
    public static RelayConfig of(
            long version,
            List<Route> routes,
            List<ServiceConfig> services,
            Map<String, WorkspaceConfig> workspaceByKey,
            CallerLimits limits) {
        return new RelayConfig(version, routes, services, workspaceByKey, !workspaceByKey.isEmpty(), limits);
    }

    /**
     * Creates a configuration with workspaces, of which none may have a key.
     *
     * @param workspaceByKey workspaces by API key
     */
    public static RelayConfig withWorkspaces(
            long version,
            List<Route> routes,
            List<ServiceConfig> services,
            Map<String, WorkspaceConfig> workspaceByKey,
            CallerLimits limits) {
        return new RelayConfig(version, routes, services, workspaceByKey, true, limits);
    }

    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Returns the ranks in force as text: those of workspaces, and those of routes by service. */
    public String rankSummary() {
        return "workspaces " + workspaceRanks + ", routes " + ranksByService;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routes.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the smallest event gap that any route allows, in milliseconds; 0 if no route sets one. */
    public long minEventGapMillis() {
        return routes.values().stream()
                .flatMap(routesByPrefix -> routesByPrefix.values().stream())
                .mapToLong(Route::maxEventGapMillis)
                .filter(millis -> millis > 0)
                .min()
                .orElse(0);
    }

    /**
     * Returns the rank of a request, 0 for the most urgent: by its route first, then by its workspace. A workspace
     * without a priority has the middle rank.
     *
     * <p>The route rank is the tier that is promised to callers. If the workspace rank came first, a long request of
     * a preferred workspace would continue where short, urgent requests of all others are preempted.
     */
    public int rank(Optional<WorkspaceConfig> workspace, Route route) {
        return routeRank(route, routeRanks) * workspaceRankCount() + workspaceRank(workspace);
    }

    /**
     * Returns the priority level of a request at a backend server of a service, 0 for the most urgent.
     *
     * @param step step in the prefill order among the requests of its rank
     */
    public int priorityLevel(Optional<WorkspaceConfig> workspace, Route route, String service, int step) {
        List<Integer> ranks = ranksByService.getOrDefault(service, routeRanks);
        return PriorityLevels.level(
                routeRank(route, ranks), ranks.size(), workspaceRank(workspace), workspaceRankCount(), step);
    }

    /** Returns whether a workspace and a route have the least urgent rank among the requests for a service. */
    public boolean isLeastUrgent(Optional<WorkspaceConfig> workspace, Route route, String service) {
        List<Integer> ranks = ranksByService.getOrDefault(service, routeRanks);
        return routeRank(route, ranks) >= ranks.size() - 1 && workspaceRank(workspace) >= workspaceRankCount() - 1;
    }

    private int workspaceRankCount() {
        return Math.max(1, workspaceRanks.size());
    }

    private int workspaceRank(Optional<WorkspaceConfig> workspace) {
        OptionalInt priority = workspace.map(WorkspaceConfig::priority).orElseGet(OptionalInt::empty);
        return priority.isPresent() ? workspaceRanks.indexOf(priority.getAsInt()) : workspaceRanks.size() / 2;
    }

    private static int routeRank(Route route, List<Integer> ranks) {
        return Math.max(0, ranks.indexOf(route.priority()));
    }

    /** Returns whether callers need a key on routes that aren't anonymous. */
    public boolean requiresKey() {
        return requiresKey;
    }

    /** Returns the workspace of an API key, if there is one. */
    public Optional<WorkspaceConfig> workspace(String key) {
        return Optional.ofNullable(workspaceByKey.get(key));
    }

    /** Returns the configuration of a service; a plain service without limits if there is none. */
    public ServiceConfig service(String name) {
        ServiceConfig config = services.get(name);
        return config == null ? ServiceConfig.of(name, Integer.MAX_VALUE, 0, 0) : config;
    }

    /**
     * Returns the route of a request: the one with the longest matching path prefix among the routes of its host.
     *
     * <p>Every prefix ends with a slash, so only the prefixes of the path that end with a slash are looked up, the
     * longest first.
     *
     * @param host value of the Host header, with or without port
     * @param target path, with or without query
     */
    public Optional<Route> route(String host, String target) {
        Map<String, Route> routesByPrefix = routes.get(hostName(host));
        if (routesByPrefix == null) {
            return Optional.empty();
        }
        int end = target.indexOf('?');
        String path = end < 0 ? target : target.substring(0, end);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = routesByPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
