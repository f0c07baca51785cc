package org.tanagerhinge.core.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.core.hash.RendezvousHash;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;

/**
 * Holds the backend servers that a router knows, and selects the agents that it connects to.
 *
 * <p>Connections between all routers and all agents would cost too much control traffic. Each router connects to a
 * bounded subset for each target, chosen by rendezvous hashing, so that the subset stays the same after a restart and
 * changes little with the server list.
 */
final class ServerTable {
    private final String routerName;
    private final int maxLinksPerTarget;
    private final Map<ServerId, ServerView> views = new LinkedHashMap<>();

    ServerTable(String routerName, int maxLinksPerTarget) {
        this.routerName = routerName;
        this.maxLinksPerTarget = maxLinksPerTarget;
    }

    Collection<ServerView> all() {
        return views.values();
    }

    Optional<ServerView> find(ServerId id) {
        return Optional.ofNullable(views.get(id));
    }

    /** Adds a server that is to be connected. */
    ServerView add(BackendServer server) {
        ServerView view = new ServerView(server);
        views.put(server.id(), view);
        return view;
    }

    void remove(ServerId id) {
        views.remove(id);
    }

    /** Returns the linked servers of a kind that accept new work for a target. */
    List<ServerView> accepting(ServerKind kind, TargetName target) {
        List<ServerView> acceptingServers = new ArrayList<>();
        for (ServerView view : views.values()) {
            boolean serves =
                    view.server().kind() == kind && view.server().targets().contains(target);
            boolean takesWork = view.linked()
                    && !view.retired()
                    && view.server().desiredState() == DesiredServerState.SERVING
                    && view.load().accepting();
            if (serves && takesWork) {
                acceptingServers.add(view);
            }
        }
        return acceptingServers;
    }

    /**
     * Returns the linked agent that is to keep a claim beside its executor, preferably in another failure domain; the
     * same one for the same key as long as the links are the same. An agent that is stopping is not chosen.
     */
    Optional<ServerId> otherClaimKeeper(BackendServer executor, KeyDigest digest) {
        List<BackendServer> keepers = views.values().stream()
                .filter(view -> view.linked()
                        && view.acceptsClaimReports()
                        && view.load().accepting())
                .map(ServerView::server)
                .filter(server -> !server.id().equals(executor.id()))
                .toList();
        List<BackendServer> elsewhere = keepers.stream()
                .filter(server -> !server.failureDomain().equals(executor.failureDomain()))
                .toList();
        return RendezvousHash.first(
                digest.hex(),
                (elsewhere.isEmpty() ? keepers : elsewhere)
                        .stream().map(BackendServer::id).toList());
    }

    /** Returns the linked servers, grouped by the targets that they serve. */
    Collection<List<ServerView>> linkedByTargets() {
        Map<Set<TargetName>, List<ServerView>> groups = new LinkedHashMap<>();
        for (ServerView view : views.values()) {
            if (view.linked()) {
                groups.computeIfAbsent(view.server().targets(), _ -> new ArrayList<>())
                        .add(view);
            }
        }
        return groups.values();
    }

    /** Returns the servers of a list that this router should be connected to. */
    Set<ServerId> connectionSubset(ServersDocument servers) {
        Map<TargetName, List<ServerId>> byTarget = new TreeMap<>();
        for (BackendServer server : servers.servers()) {
            if (server.desiredState() != DesiredServerState.STOPPED) {
                for (TargetName target : server.targets()) {
                    byTarget.computeIfAbsent(target, _ -> new ArrayList<>()).add(server.id());
                }
            }
        }
        Set<ServerId> subset = new HashSet<>();
        byTarget.values().forEach(ids -> subset.addAll(RendezvousHash.top(routerName, ids, maxLinksPerTarget)));
        return subset;
    }
}
