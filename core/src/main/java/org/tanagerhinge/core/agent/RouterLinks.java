package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.message.Frame;

/** The routers that are connected to an agent, and the attempts of each that the agent holds. */
final class RouterLinks {
    private final AgentPort port;
    private final InstantSource clock;
    private final Map<RouterId, Map<Long, Run>> attempts = new HashMap<>();
    private final Map<RouterId, Instant> loadToldAt = new HashMap<>();

    RouterLinks(AgentPort port, InstantSource clock) {
        this.port = port;
        this.clock = clock;
    }

    int count() {
        return attempts.size();
    }

    boolean connected(RouterId router) {
        return attempts.containsKey(router);
    }

    List<RouterId> routers() {
        return List.copyOf(attempts.keySet());
    }

    /** Returns connected routers of the same name: earlier incarnations of one. */
    List<RouterId> namesakes(RouterId router) {
        return attempts.keySet().stream()
                .filter(other -> other.name().equals(router.name()))
                .toList();
    }

    void connect(RouterId router) {
        attempts.put(router, new HashMap<>());
    }

    /** Forgets a router; returns the runs of its attempts, which stay the caller's to end, if it was connected. */
    Collection<Run> disconnect(RouterId router) {
        loadToldAt.remove(router);
        Map<Long, Run> lost = attempts.remove(router);
        return lost == null ? List.of() : lost.values();
    }

    /** Notes that a router's attempt is served by a run. */
    void attach(RouterId router, long attempt, Run run) {
        attempts.get(router).put(attempt, run);
    }

    Optional<Run> run(RouterId router, long attempt) {
        return Optional.ofNullable(attempts.get(router).get(attempt));
    }

    Optional<Run> detach(RouterId router, long attempt) {
        return Optional.ofNullable(attempts.get(router).remove(attempt));
    }

    /** Forgets the attempts that a run served; it has no subscribers afterwards. */
    void forget(Run run) {
        for (Subscriber subscriber : run.subscribers()) {
            Map<Long, Run> own = attempts.get(subscriber.router());
            if (own != null) {
                own.remove(subscriber.attempt());
            }
        }
        run.subscribers().clear();
    }

    /** Returns the routers that have not been told the load for a time. */
    List<RouterId> untold(Duration since) {
        Instant now = clock.instant();
        return attempts.keySet().stream()
                .filter(router -> {
                    Instant told = loadToldAt.get(router);
                    return told == null || !told.plus(since).isAfter(now);
                })
                .toList();
    }

    void send(RouterId router, Frame.FromAgent frame) {
        if (frame instanceof Frame.LoadReport) {
            loadToldAt.put(router, clock.instant());
        }
        port.send(router, frame);
    }
}
