package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.hash.RendezvousHash;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.message.AgentLoad;

/**
 * Chooses the server for an attempt by the least expected time to the complete answer.
 *
 * <p>It compares a random sample of the candidates instead of all of them: routers that all choose the best server
 * from equally old load reports would overload it. The preferred servers of the prompt's prefix are always compared,
 * without the prefill time that their prefix cache saves.
 */
final class LoadBalancer {
    private static final int SAMPLE_SIZE = 3;
    private static final int PREFERRED_SERVERS_PER_PREFIX = 2;
    private static final double CROSS_DOMAIN_PENALTY_SECONDS = 0.003;
    private static final double DEFAULT_UNITS_PER_SECOND = 200;
    private static final double DEFAULT_STREAM_UNITS_PER_SECOND = 20;
    private static final double CONTENTION_WEIGHT = 0.15;
    private static final long PROMPT_TOKENS_PER_UNIT = 16;
    private static final double EJECT_BELOW_MEDIAN_RATIO = 0.45;
    private static final double RETURN_ABOVE_MEDIAN_RATIO = 0.7;
    private static final int EJECT_AFTER_SLOW_CHECKS = 3;
    private static final int MIN_PEERS = 3;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(2);

    private final FailureDomain ownDomain;
    private final RandomGenerator random;
    private int nextIndex;

    LoadBalancer(FailureDomain ownDomain, RandomGenerator random) {
        this.ownDomain = ownDomain;
        this.random = random;
    }

    /** Returns the next candidate in rotation, regardless of load. */
    Optional<ServerView> roundRobin(List<ServerView> candidates) {
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(nextIndex++, candidates.size())));
    }

    /** Returns the candidate with the least expected time in a random sample. */
    Optional<ServerView> leastExpectedTime(List<ServerView> candidates, Exchange exchange, Instant now) {
        Optional<ServerView> probe = exchange.idempotent() ? dueForProbe(candidates, now) : Optional.empty();
        if (probe.isPresent()) {
            probe.get().recordProbe(now);
            return probe;
        }
        List<ServerView> healthy = candidates.stream()
                .filter(view -> view.machine().isIn(ServerState.SERVING))
                .toList();
        List<ServerView> pool = healthy.isEmpty() ? candidates : healthy;
        List<ServerView> preferred = preferredForPrefix(pool, exchange);
        List<ServerView> sample = sample(pool);
        preferred.stream().filter(view -> !sample.contains(view)).forEach(sample::add);
        return sample.stream()
                .min(Comparator.comparingDouble(view -> expectedSeconds(view, exchange, preferred.contains(view))));
    }

    private static Optional<ServerView> dueForProbe(List<ServerView> candidates, Instant now) {
        return candidates.stream()
                .filter(view -> view.machine().isIn(ServerState.EJECTED))
                .filter(view -> view.lastProbeAt().equals(Instant.MIN)
                        || view.lastProbeAt().plus(PROBE_INTERVAL).isBefore(now))
                .findFirst();
    }

    private static List<ServerView> preferredForPrefix(List<ServerView> pool, Exchange exchange) {
        if (exchange.request().affinity().isEmpty()) {
            return List.of();
        }
        List<String> names =
                pool.stream().map(view -> view.server().id().value()).toList();
        List<String> preferred = RendezvousHash.top(exchange.request().affinity(), names, PREFERRED_SERVERS_PER_PREFIX);
        return pool.stream()
                .filter(view -> preferred.contains(view.server().id().value()))
                .toList();
    }

    private List<ServerView> sample(List<ServerView> pool) {
        List<ServerView> remaining = new ArrayList<>(pool);
        List<ServerView> sample = new ArrayList<>();
        while (sample.size() < SAMPLE_SIZE && !remaining.isEmpty()) {
            sample.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return sample;
    }

    /** Returns the expected time to the complete answer from a server, in seconds. */
    private double expectedSeconds(ServerView view, Exchange exchange, boolean prefixLikelyCached) {
        AgentLoad load = view.load();
        boolean service = view.server().kind() == ServerKind.SERVICE;
        double unitsPerSecond = load.unitsPerSecond() > 0
                ? load.unitsPerSecond()
                : (service ? DEFAULT_STREAM_UNITS_PER_SECOND : DEFAULT_UNITS_PER_SECOND);
        double streamUnitsPerSecond =
                load.streamUnitsPerSecond() > 0 ? load.streamUnitsPerSecond() : DEFAULT_STREAM_UNITS_PER_SECOND;
        double queuedUnits = load.queuedUnitsAhead(exchange.profile().tier()) + view.unreportedCostUnits();
        boolean atLimit = load.inFlight() + view.unreportedCount() >= load.concurrencyLimit();
        double slotWaitSeconds = atLimit ? load.runningUnits() / unitsPerSecond / Math.max(1, load.inFlight()) : 0;
        double queueSeconds = (atLimit ? queuedUnits / unitsPerSecond : 0) + slotWaitSeconds;
        double contentionSeconds = CONTENTION_WEIGHT * (load.runningUnits() + queuedUnits) / unitsPerSecond;
        double prefillSeconds =
                service ? 0 : (double) exchange.request().promptUnits() / PROMPT_TOKENS_PER_UNIT / streamUnitsPerSecond;
        double runSeconds = exchange.expectedUnits() / streamUnitsPerSecond;
        double domainSeconds = view.server().failureDomain().equals(ownDomain) ? 0 : CROSS_DOMAIN_PENALTY_SECONDS;
        return queueSeconds
                + contentionSeconds
                + runSeconds
                + domainSeconds
                + (prefixLikelyCached ? 0 : prefillSeconds);
    }

    /**
     * Ejects servers whose streams are much slower than their peers', and returns those that have recovered.
     *
     * <p>A slow server can look idle by its load alone and would attract requests and delay them, so its measured
     * stream rate is compared with the median of its peers.
     *
     * @param peers linked servers of the same targets
     * @param onEject called once for each ejected server
     * @param onReturn called once for each server that is returned to service
     */
    void updateEjections(Collection<ServerView> peers, Runnable onEject, Runnable onReturn) {
        double[] rates = peers.stream()
                .mapToDouble(view -> view.load().streamUnitsPerSecond())
                .filter(streamRate -> streamRate > 0)
                .sorted()
                .toArray();
        if (rates.length < MIN_PEERS) {
            return;
        }
        double medianRate = rates[rates.length / 2];
        long ejected = peers.stream()
                .filter(view -> view.machine().isIn(ServerState.EJECTED))
                .count();
        for (ServerView view : peers) {
            double streamRate = view.load().streamUnitsPerSecond();
            if (streamRate <= 0) {
                continue;
            }
            if (view.machine().isIn(ServerState.EJECTED)) {
                if (streamRate >= RETURN_ABOVE_MEDIAN_RATIO * medianRate) {
                    view.machine().fire(ServerEvent.RETURN);
                    view.consecutiveSlowChecks(0);
                    ejected--;
                    onReturn.run();
                }
                continue;
            }
            view.consecutiveSlowChecks(
                    streamRate < EJECT_BELOW_MEDIAN_RATIO * medianRate ? view.consecutiveSlowChecks() + 1 : 0);
            if (view.consecutiveSlowChecks() >= EJECT_AFTER_SLOW_CHECKS && ejected < rates.length / MIN_PEERS) {
                view.machine().fire(ServerEvent.EJECT);
                ejected++;
                onEject.run();
            }
        }
    }
}
