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

/** Tracks the routers connected to an agent and the runs of each router's attempts. */
final class RouterLinks {
    private final AgentPort port;
    private final InstantSource clock;
    private final Map<RouterId, Map<Long, Run>> runsByAttempt = new HashMap<>();
    private final Map<RouterId, Instant> loadReportedAt = new HashMap<>();

    RouterLinks(AgentPort port, InstantSource clock) {
        this.port = port;
        this.clock = clock;
    }

    int count() {
        return runsByAttempt.size();
    }

    boolean isConnected(RouterId router) {
        return runsByAttempt.containsKey(router);
    }

    List<RouterId> routers() {
        return List.copyOf(runsByAttempt.keySet());
    }

    void connect(RouterId router) {
        runsByAttempt.put(router, new HashMap<>());
    }

    /**
     * Removes a router; returns the runs of its attempts, which the caller has to end. Empty if it was not connected.
     */
    Collection<Run> disconnect(RouterId router) {
        loadReportedAt.remove(router);
        Map<Long, Run> routerRuns = runsByAttempt.remove(router);
        return routerRuns == null ? List.of() : routerRuns.values();
    }

    /** Records that a router's attempt is served by a run. */
    void attach(RouterId router, long attempt, Run run) {
        runsByAttempt.get(router).put(attempt, run);
    }

    Optional<Run> run(RouterId router, long attempt) {
        return Optional.ofNullable(runsByAttempt.get(router).get(attempt));
    }

    Optional<Run> detach(RouterId router, long attempt) {
        return Optional.ofNullable(runsByAttempt.get(router).remove(attempt));
    }

    /** Removes all attempts served by a run, and the run's subscribers. */
    void detachAll(Run run) {
        for (Subscriber subscriber : run.subscribers()) {
            Map<Long, Run> routerRuns = runsByAttempt.get(subscriber.router());
            if (routerRuns != null) {
                routerRuns.remove(subscriber.attempt());
            }
        }
        run.subscribers().clear();
    }

    /** Returns the routers whose last load report is at least the interval ago. */
    List<RouterId> loadReportDue(Duration interval) {
        Instant now = clock.instant();
        return runsByAttempt.keySet().stream()
                .filter(router -> {
                    Instant reportedAt = loadReportedAt.get(router);
                    return reportedAt == null || !reportedAt.plus(interval).isAfter(now);
                })
                .toList();
    }

    void send(RouterId router, Frame.FromAgent frame) {
        if (frame instanceof Frame.LoadReport) {
            loadReportedAt.put(router, clock.instant());
        }
        port.send(router, frame);
    }
}
