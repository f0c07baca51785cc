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
 * Which agents a router is connected to: its subset for each target, and others on demand for as long as they are used.
 */
final class AgentLinks {
    /** How long an agent that was linked on demand may go unused. */
    private static final Duration DEMAND_LINK_IDLE = Duration.ofMinutes(1);

    private final ServerTable servers;
    private final RouterPort port;
    private final Duration heartbeat;
    private final Predicate<ServerId> inUse;
    private final Consumer<ServerId> lost;
    private ClusterConfig config = ClusterConfig.EMPTY;

    /**
     * Makes the links of one router run.
     *
     * @param heartbeat how often a silent link shows a sign of life
     * @param inUse whether an exchange is with a server
     * @param lost told of a server whose link is given up, before it is forgotten
     */
    AgentLinks(
            ServerTable servers,
            RouterPort port,
            Duration heartbeat,
            Predicate<ServerId> inUse,
            Consumer<ServerId> lost) {
        this.servers = servers;
        this.port = port;
        this.heartbeat = heartbeat;
        this.inUse = inUse;
        this.lost = lost;
    }

    /** Takes a configuration; links follow it if its server list has changed. */
    void config(ClusterConfig next, boolean serversChanged) {
        config = next;
        if (serversChanged) {
            relink();
        }
    }

    boolean isLinked(ServerId id) {
        return servers.find(id).map(ServerView::linked).orElse(false);
    }

    /** Links an agent outside the subset, if the configuration knows it. */
    void demand(ServerId id, Instant now) {
        if (servers.find(id).isEmpty()) {
            config.servers().server(id).ifPresent(server -> {
                servers.add(server);
                port.link(server);
            });
        }
        servers.find(id).ifPresent(view -> view.lastUsed(now));
    }

    /** Tells all linked agents which configuration this router has. */
    void tellRevision() {
        Frame.Heartbeat news = new Frame.Heartbeat(config.revision());
        for (ServerView view : List.copyOf(servers.all())) {
            if (view.linked()) {
                port.send(view.server().id(), news);
            }
        }
    }

    /** Shows a sign of life on links that were silent, and gives up those on demand that went unused. */
    void tick(Instant now) {
        heartbeats(now);
        closeIdle(now);
    }

    private void relink() {
        Set<ServerId> wanted = servers.wanted(config.servers());
        for (ServerView view : List.copyOf(servers.all())) {
            ServerId id = view.server().id();
            Optional<BackendServer> listed = config.servers().server(id);
            boolean moved = listed.isEmpty()
                    || !listed.get().agentAddress().equals(view.server().agentAddress());
            listed.ifPresent(view::server);
            if (moved || (!wanted.contains(id) && !inUse.test(id))) {
                unlink(id);
            }
        }
        for (ServerId id : wanted) {
            if (servers.find(id).isEmpty()) {
                BackendServer server = config.servers().server(id).orElseThrow();
                servers.add(server);
                port.link(server);
            }
        }
    }

    private void unlink(ServerId id) {
        lost.accept(id);
        servers.remove(id);
        port.unlink(id);
    }

    private void heartbeats(Instant now) {
        for (ServerView view : servers.all()) {
            boolean due = view.lastSent().equals(Instant.MIN)
                    || !view.lastSent().plus(heartbeat).isAfter(now);
            if (view.linked() && due) {
                view.lastSent(now);
                port.send(view.server().id(), new Frame.Heartbeat(config.revision()));
            }
        }
    }

    private void closeIdle(Instant now) {
        Set<ServerId> wanted = servers.all().isEmpty() ? Set.of() : null;
        for (ServerView view : List.copyOf(servers.all())) {
            ServerId id = view.server().id();
            boolean idle = !view.lastUsed().equals(Instant.MIN)
                    && view.lastUsed().plus(DEMAND_LINK_IDLE).isBefore(now);
            if (idle) {
                wanted = wanted == null ? servers.wanted(config.servers()) : wanted;
                view.lastUsed(now);
                if (!wanted.contains(id) && !inUse.test(id)) {
                    unlink(id);
                }
            }
        }
    }
}
