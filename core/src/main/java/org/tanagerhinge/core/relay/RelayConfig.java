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
    private final Map<String, WorkspaceConfig> workspaces;
    private final CallerLimits limits;
    private final List<Integer> workspaceRanks;
    private final List<Integer> routeRanks;
    private final Map<String, List<Integer>> serviceRanks = new HashMap<>();

    private RelayConfig(
            long version,
            List<Route> routes,
            List<ServiceConfig> services,
            Map<String, WorkspaceConfig> workspaces,
            CallerLimits limits) {
        this.version = version;
        for (Route route : routes) {
            this.routes.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
        }
        for (ServiceConfig service : services) {
            this.services.put(service.name(), service);
        }
        this.workspaces = Map.copyOf(workspaces);
        this.limits = limits;
        this.workspaceRanks = workspaces.values().stream()
                .flatMap(workspace -> workspace.priority().stream().boxed())
                .distinct()
                .sorted()
                .toList();
        for (Route route : routes) {
            for (WeightedService share : route.shares()) {
                serviceRanks
                        .computeIfAbsent(share.service(), name -> new ArrayList<>())
                        .add(route.priority());
            }
        }
        serviceRanks.replaceAll(
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
            Map<String, WorkspaceConfig> workspaces,
            CallerLimits limits) {
        return new RelayConfig(version, routes, services, workspaces, limits);
    }

    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Returns the ranks in force as text, of workspaces and of the routes of each service. */
    public String ranks() {
        return "workspaces " + workspaceRanks + ", routes " + serviceRanks;
    }

    /** Returns how many routes there are. */
    public int routeCount() {
        return routes.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the tightest pause between events that a route allows, in milliseconds; 0 if none states one. */
    public long tightestPause() {
        return routes.values().stream()
                .flatMap(ofHost -> ofHost.values().stream())
                .mapToLong(Route::gapMillis)
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
        return kind(route, routeRanks) * workspaceCount() + standing(workspace);
    }

    /**
     * Returns how urgent a request is at a backend server of a service, 0 for the most urgent.
     *
     * @param step its place among the requests of its rank
     */
    public int level(Optional<WorkspaceConfig> workspace, Route route, String service, int step) {
        List<Integer> kinds = serviceRanks.getOrDefault(service, routeRanks);
        return PriorityLevels.level(kind(route, kinds), kinds.size(), standing(workspace), workspaceCount(), step);
    }

    /** Returns whether no request for a service may have a less urgent rank than one of a workspace on a route. */
    public boolean leastUrgent(Optional<WorkspaceConfig> workspace, Route route, String service) {
        List<Integer> kinds = serviceRanks.getOrDefault(service, routeRanks);
        return kind(route, kinds) >= kinds.size() - 1 && standing(workspace) >= workspaceCount() - 1;
    }

    private int workspaceCount() {
        return Math.max(1, workspaceRanks.size());
    }

    private int standing(Optional<WorkspaceConfig> workspace) {
        OptionalInt own = workspace.map(WorkspaceConfig::priority).orElseGet(OptionalInt::empty);
        return own.isPresent() ? workspaceRanks.indexOf(own.getAsInt()) : workspaceRanks.size() / 2;
    }

    private static int kind(Route route, List<Integer> ranks) {
        return Math.max(0, ranks.indexOf(route.priority()));
    }

    /** Returns whether callers need a key on routes that aren't open. */
    public boolean keysNeeded() {
        return !workspaces.isEmpty();
    }

    /** Returns the workspace that holds a key, if one does. */
    public Optional<WorkspaceConfig> workspace(String key) {
        return Optional.ofNullable(workspaces.get(key));
    }

    /** Returns what the operators tell of a service; a plain service without bounds if they don't. */
    public ServiceConfig service(String name) {
        ServiceConfig terms = services.get(name);
        return terms == null ? ServiceConfig.of(name, Integer.MAX_VALUE, 0, 0) : terms;
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
        Map<String, Route> ofHost = routes.get(plainHost(host));
        if (ofHost == null) {
            return Optional.empty();
        }
        int end = target.indexOf('?');
        String path = end < 0 ? target : target.substring(0, end);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = ofHost.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String plainHost(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
