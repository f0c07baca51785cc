package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** One version of the operators' configuration, arranged for looking things up; immutable. */
public final class RelayConfig {
    private final long version;
    private final Map<String, Map<String, Route>> routes = new HashMap<>();
    private final Map<String, ServiceConfig> services = new HashMap<>();
    private final Map<String, WorkspaceConfig> workspaceByKey;
    private final CallerLimits limits;
    private final List<Integer> workspaceRanks;
    private final List<Integer> routeRanks;
    private final Map<String, List<Integer>> ranksByService = new HashMap<>();

    private RelayConfig(
            long version,
            List<Route> routes,
            List<ServiceConfig> services,
            Map<String, WorkspaceConfig> workspaceByKey,
            CallerLimits limits) {
        this.version = version;
        for (Route route : routes) {
            this.routes.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route);
        }
        for (ServiceConfig service : services) {
            this.services.put(service.name(), service);
        }
        this.workspaceByKey = Map.copyOf(workspaceByKey);
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
     * Returns a configuration.
     *
     * @param workspaces by key; empty if callers need no keys at all
     */
    public static RelayConfig of(
            long version,
            List<Route> routes,
            List<ServiceConfig> services,
            Map<String, WorkspaceConfig> workspaceByKey,
            CallerLimits limits) {
        return new RelayConfig(version, routes, services, workspaceByKey, limits);
    }

    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Returns the ranks in force as text, of workspaces and of the routes of each service. */
    public String rankSummary() {
        return "workspaces " + workspaceRanks + ", routes " + ranksByService;
    }

    /** Returns how many routes there are. */
    public int routeCount() {
        return routes.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the tightest pause between events that a route allows, in milliseconds; 0 if none states one. */
    public long minEventGapMillis() {
        return routes.values().stream()
                .flatMap(routesByPrefix -> routesByPrefix.values().stream())
                .mapToLong(Route::maxEventGapMillis)
                .filter(millis -> millis > 0)
                .min()
                .orElse(0);
    }

    /**
     * Returns the rank of a request, 0 for the most urgent: the route's goes first, and among requests of one kind the
     * workspace's. A workspace without a rank is taken for one of the middle.
     *
     * <p>The route's is the tier that is promised. Were the workspace's first, a long request of a preferred workspace would
     * run on where short, urgent ones of all others are preempted.
     */
    public int rank(Optional<WorkspaceConfig> workspace, Route route) {
        return routeRank(route, routeRanks) * workspaceRankCount() + workspaceRank(workspace);
    }

    /**
     * Returns how urgent a request is at a backend server of a service, 0 for the most urgent.
     *
     * @param step its place among the requests of its rank
     */
    public int priorityLevel(Optional<WorkspaceConfig> workspace, Route route, String service, int step) {
        List<Integer> ranks = ranksByService.getOrDefault(service, routeRanks);
        return PriorityLevels.level(
                routeRank(route, ranks), ranks.size(), workspaceRank(workspace), workspaceRankCount(), step);
    }

    /** Returns whether no request for a service may have a less urgent rank than one of a workspace on a route. */
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

    /** Returns whether callers need a key on routes that aren't open. */
    public boolean requiresKey() {
        return !workspaceByKey.isEmpty();
    }

    /** Returns the workspace that holds a key, if one does. */
    public Optional<WorkspaceConfig> workspace(String key) {
        return Optional.ofNullable(workspaceByKey.get(key));
    }

    /** Returns what the operators tell of a service; a plain service without bounds if they don't. */
    public ServiceConfig service(String name) {
        ServiceConfig config = services.get(name);
        return config == null ? ServiceConfig.of(name, Integer.MAX_VALUE, 0, 0) : config;
    }

    /**
     * Returns the route of a request: among those of its host, the one with the longest prefix that begins the path.
     *
     * <p>Every prefix ends with a slash, so only the parts of the path up to a slash are looked up, the longest first.
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
