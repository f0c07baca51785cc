package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.Frame;

/**
 * Maintains the connections of a router to agents: a fixed subset for each target, and others on demand while in use.
 */
final class AgentLinks {
    private static final Duration ON_DEMAND_LINK_IDLE_TIMEOUT = Duration.ofMinutes(1);

    private final ServerTable servers;
    private final RouterPort port;
    private final Duration heartbeatInterval;
    private final Predicate<ServerId> inUse;
    private final Consumer<ServerId> onUnlink;
    private ClusterConfig config = ClusterConfig.EMPTY;

    /**
     * Creates the links of one router run.
     *
     * @param heartbeatInterval interval at which a heartbeat is sent on each link
     * @param inUse whether an exchange is assigned to a server
     * @param onUnlink called with a server before its link is closed and its state is removed
     */
    AgentLinks(
            ServerTable servers,
            RouterPort port,
            Duration heartbeatInterval,
            Predicate<ServerId> inUse,
            Consumer<ServerId> onUnlink) {
        this.servers = servers;
        this.port = port;
        this.heartbeatInterval = heartbeatInterval;
        this.inUse = inUse;
        this.onUnlink = onUnlink;
    }

    /** Applies a configuration, and opens and closes links if its server list has changed. */
    void applyConfig(ClusterConfig next, boolean serversChanged) {
        config = next;
        if (serversChanged) {
            updateLinks();
        }
    }

    boolean isLinked(ServerId id) {
        return servers.find(id).map(ServerView::linked).orElse(false);
    }

    /** Opens a link to an agent outside the subset, if the configuration lists its server. */
    void linkOnDemand(ServerId id, Instant now) {
        if (servers.find(id).isEmpty()) {
            config.servers().server(id).ifPresent(server -> {
                servers.add(server);
                port.link(server);
            });
        }
        servers.find(id).ifPresent(view -> view.lastUsedAt(now));
    }

    /** Sends all linked agents the revision of this router's configuration. */
    void broadcastRevision() {
        Frame.Heartbeat heartbeat = Frame.Heartbeat.of(config.revision(), port.storeEra());
        for (ServerView view : List.copyOf(servers.all())) {
            if (view.linked()) {
                port.send(view.server().id(), heartbeat);
            }
        }
    }

    /** Sends heartbeats that are due, and closes links that are no longer needed. */
    void tick(Instant now) {
        sendHeartbeats(now);
        if (servers.all().stream().anyMatch(this::retirementEnds)) {
            updateLinks();
        }
        closeIdleLinks(now);
    }

    private void updateLinks() {
        Set<ServerId> subset = servers.connectionSubset(config.servers());
        for (ServerView view : List.copyOf(servers.all())) {
            ServerId id = view.server().id();
            Optional<BackendServer> listed = config.servers().server(id);
            boolean removedOrMoved = listed.isEmpty()
                    || !listed.get().agentAddress().equals(view.server().agentAddress());
            view.retired(removedOrMoved && view.linked() && inUse.test(id));
            if (view.retired()) {
                continue;
            }
            listed.ifPresent(view::server);
            if (removedOrMoved || (!subset.contains(id) && !inUse.test(id))) {
                unlink(id);
            }
        }
        for (ServerId id : subset) {
            if (servers.find(id).isEmpty()) {
                BackendServer server = config.servers().server(id).orElseThrow();
                servers.add(server);
                port.link(server);
            }
        }
    }

    private boolean retirementEnds(ServerView view) {
        return view.retired() && !(view.linked() && inUse.test(view.server().id()));
    }

    private void unlink(ServerId id) {
        onUnlink.accept(id);
        servers.remove(id);
        port.unlink(id);
    }

    private void sendHeartbeats(Instant now) {
        for (ServerView view : servers.all()) {
            boolean due = view.lastHeartbeatAt().equals(Instant.MIN)
                    || !view.lastHeartbeatAt().plus(heartbeatInterval).isAfter(now);
            if (view.linked() && due) {
                view.lastHeartbeatAt(now);
                port.send(view.server().id(), Frame.Heartbeat.of(config.revision(), port.storeEra()));
            }
        }
    }

    private void closeIdleLinks(Instant now) {
        Set<ServerId> subset = servers.all().isEmpty() ? Set.of() : null;
        for (ServerView view : List.copyOf(servers.all())) {
            ServerId id = view.server().id();
            boolean idle = !view.lastUsedAt().equals(Instant.MIN)
                    && view.lastUsedAt().plus(ON_DEMAND_LINK_IDLE_TIMEOUT).isBefore(now);
            if (idle) {
                subset = subset == null ? servers.connectionSubset(config.servers()) : subset;
                view.lastUsedAt(now);
                if (!subset.contains(id) && !inUse.test(id)) {
                    unlink(id);
                }
            }
        }
    }
}
