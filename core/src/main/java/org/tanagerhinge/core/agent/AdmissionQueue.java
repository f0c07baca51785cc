package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.invariant.Invariant;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Queues the requests of an agent, with admission control, tier-based eviction and guaranteed shares.
 *
 * <p><em>Eviction</em> considers tiers only: an evicted run is never of a higher tier than the run that replaces it.
 * <em>Dispatch</em> follows tiers too, but each class with queued runs accrues credit for its guaranteed share of all
 * dispatched cost, and is served as soon as the credit covers its next run. Such a class yields to a higher tier whose
 * next run is about to miss its deadline, for {@link #MAX_YIELD} at most.
 */
final class AdmissionQueue {
    static final Duration MAX_YIELD = Duration.ofSeconds(1);
    /** A run past its target is kept only if this multiple of its expected run time fits before its deadline. */
    private static final int LATE_RUN_TIME_FACTOR = 3;

    private static final Duration URGENT_TIME_LEFT = Duration.ofMillis(500);

    /** Reports whether a run was queued. */
    sealed interface AdmissionResult {
        /** The run is queued; the evicted runs were removed to make room for it. */
        record Admitted(List<Run> evicted) implements AdmissionResult {}

        /** The run is not queued; the caller may retry after the given time. */
        record Rejected(ResultCode code, Duration retryAfter) implements AdmissionResult {}
    }

    private static final Comparator<Run> EVICTION_ORDER = Comparator.comparingInt(Run::tier)
            .reversed()
            .thenComparing(Comparator.comparing(Run::arrivedAt).reversed())
            .thenComparing(Comparator.comparingLong(Run::id).reversed());

    private final int maxRuns;
    private final long maxBytes;
    private final InvariantMonitor monitor;
    private final Map<ProfileName, ServiceClassQueue> classes = new LinkedHashMap<>();
    private final TreeSet<Run> evictionOrder = new TreeSet<>(EVICTION_ORDER);
    private long queuedBytes;

    AdmissionQueue(int maxRuns, long maxBytes, InvariantMonitor monitor) {
        this.maxRuns = maxRuns;
        this.maxBytes = maxBytes;
        this.monitor = monitor;
    }

    int size() {
        return evictionOrder.size();
    }

    boolean isEmpty() {
        return evictionOrder.isEmpty();
    }

    /** Returns the queued cost of each tier; index 0 is tier 1. */
    List<Long> costByTier() {
        long[] costs = new long[Profile.LOWEST_TIER];
        classes.values().forEach(serviceClass -> costs[serviceClass.scheduling().tier() - 1] += serviceClass.cost());
        List<Long> result = new ArrayList<>(costs.length);
        for (long cost : costs) {
            result.add(cost);
        }
        return result;
    }

    /**
     * Queues a run, or rejects it at once.
     *
     * @param throughput estimated throughput of the backend server, for rejecting runs that cannot meet their deadline
     */
    AdmissionResult offer(Run run, Instant now, ThroughputEstimate throughput) {
        ServiceClassQueue serviceClass = classes.computeIfAbsent(
                run.work().profile(),
                name -> new ServiceClassQueue(name, run.work().scheduling()));
        serviceClass.scheduling(run.work().scheduling());
        Duration wait = throughput.queueWait(costAhead(run), serviceClass.cost(), serviceClass.shareFraction());
        if (wait.plus(throughput.runTime(run.cost())).compareTo(run.timeLeft(now)) > 0) {
            return new AdmissionResult.Rejected(ResultCode.DEADLINE_UNREACHABLE, wait);
        }
        List<Run> evicted = new ArrayList<>();
        if (serviceClass.size() >= run.work().scheduling().maxQueuedRequests()) {
            // Evicts a run past its target: a queue full of such runs would reject those that can still meet their
            // target.
            Optional<Run> latest = serviceClass.lastLateRun();
            if (latest.isEmpty()) {
                return new AdmissionResult.Rejected(ResultCode.QUEUE_FULL, throughput.retryAfter(serviceClass.cost()));
            }
            remove(latest.get());
            evicted.add(latest.get());
        }
        Optional<List<Run>> victims = selectVictims(run);
        if (victims.isEmpty()) {
            evicted.forEach(victim -> add(victim, serviceClass));
            return new AdmissionResult.Rejected(ResultCode.QUEUE_FULL, throughput.retryAfter(serviceClass.cost()));
        }
        victims.get().forEach(this::remove);
        evicted.addAll(victims.get());
        add(run, serviceClass);
        return new AdmissionResult.Admitted(evicted);
    }

    /** Returns the runs to evict to make room for a run (none if there is room), or empty if no room can be made. */
    private Optional<List<Run>> selectVictims(Run run) {
        List<Run> victims = new ArrayList<>();
        int freeSlots = maxRuns - evictionOrder.size();
        long freeBytes = maxBytes - queuedBytes;
        for (Run candidate : evictionOrder) {
            if (freeSlots >= 1 && freeBytes >= size(run)) {
                break;
            }
            if (candidate.tier() <= run.tier()) {
                break;
            }
            victims.add(candidate);
            freeSlots++;
            freeBytes += size(candidate);
        }
        boolean fits = freeSlots >= 1 && freeBytes >= size(run);
        if (fits) {
            victims.forEach(victim -> monitor.check(
                    Invariant.TIER_ORDER,
                    victim.tier() > run.tier(),
                    () -> victim + " was evicted in favour of " + run));
            return Optional.of(victims);
        }
        monitor.check(
                Invariant.TIER_ORDER,
                evictionOrder.stream().allMatch(queued -> queued.tier() <= run.tier() || victims.contains(queued)),
                () -> run + " was rejected while " + evictionOrder.first() + " of a lower tier stayed queued");
        return Optional.empty();
    }

    private void add(Run run, ServiceClassQueue serviceClass) {
        if (serviceClass.isEmpty()) {
            serviceClass.catchUpTo(minNormalizedService(run.tier()));
        }
        serviceClass.add(run);
        evictionOrder.add(run);
        queuedBytes += size(run);
    }

    private static long size(Run run) {
        return run.work().call().body().length;
    }

    private double minNormalizedService(int tier) {
        return classes.values().stream()
                .filter(serviceClass ->
                        !serviceClass.isEmpty() && serviceClass.scheduling().tier() == tier)
                .mapToDouble(ServiceClassQueue::normalizedService)
                .min()
                .orElse(0);
    }

    private long costAhead(Run run) {
        return costDownToTier(run.tier());
    }

    /** Returns the queued cost of a tier and all higher tiers. */
    private long costDownToTier(int tier) {
        return classes.values().stream()
                .filter(serviceClass -> serviceClass.scheduling().tier() <= tier)
                .mapToLong(ServiceClassQueue::cost)
                .sum();
    }

    /**
     * Removes and returns the run to dispatch next.
     *
     * @param firstOutputLatency expected time from dispatch to the first output
     */
    Optional<Run> takeNext(Instant now, Duration firstOutputLatency) {
        if (isEmpty()) {
            return Optional.empty();
        }
        classes.values().forEach(serviceClass -> serviceClass.demoteLate(now, firstOutputLatency));
        ServiceClassQueue highest = highestClass();
        ServiceClassQueue chosen =
                owedClass().map(owed -> owedOrUrgent(owed, highest, now)).orElse(highest);
        Run run = chosen.take();
        release(run);
        recordDispatch(chosen, run, now);
        return Optional.of(run);
    }

    private ServiceClassQueue highestClass() {
        return classes.values().stream()
                .filter(serviceClass -> !serviceClass.isEmpty())
                .min(Comparator.comparingInt((ServiceClassQueue serviceClass) ->
                                serviceClass.scheduling().tier())
                        .thenComparingDouble(ServiceClassQueue::normalizedService))
                .orElseThrow();
    }

    /** Returns the class that was bypassed most often among those whose credit covers their next run. */
    private Optional<ServiceClassQueue> owedClass() {
        return classes.values().stream()
                .filter(ServiceClassQueue::isOwed)
                .max(Comparator.comparingInt(ServiceClassQueue::bypassCount)
                        .thenComparing(
                                serviceClass -> -serviceClass.scheduling().tier()));
    }

    private static ServiceClassQueue owedOrUrgent(ServiceClassQueue owed, ServiceClassQueue highest, Instant now) {
        boolean urgent = highest.scheduling().tier() < owed.scheduling().tier()
                && highest.peek().timeLeft(now).compareTo(URGENT_TIME_LEFT) < 0;
        Instant yieldingSince = owed.yieldingSince();
        boolean mayYield =
                yieldingSince == null || Duration.between(yieldingSince, now).compareTo(MAX_YIELD) < 0;
        return urgent && mayYield ? highest : owed;
    }

    private void recordDispatch(ServiceClassQueue chosen, Run run, Instant now) {
        long cost = run.cost();
        long backloggedClasses = 0;
        for (ServiceClassQueue serviceClass : classes.values()) {
            if (!serviceClass.isEmpty()) {
                backloggedClasses++;
                boolean wasOwed = serviceClass != chosen && serviceClass.isOwed();
                serviceClass.accrueCredit(cost);
                if (wasOwed) {
                    serviceClass.recordBypass();
                    serviceClass.startYielding(now);
                }
            }
        }
        chosen.recordDispatch(cost);
        checkNoStarvation(now, backloggedClasses);
    }

    /** Checks that a class whose credit covers its next run is not bypassed over and over, unless it yields. */
    private void checkNoStarvation(Instant now, long backloggedClasses) {
        for (ServiceClassQueue serviceClass : classes.values()) {
            Instant yieldingSince = serviceClass.yieldingSince();
            boolean yielding = yieldingSince != null
                    && Duration.between(yieldingSince, now).compareTo(MAX_YIELD) <= 0;
            monitor.check(
                    Invariant.NO_STARVATION,
                    yielding || serviceClass.bypassCount() <= Math.max(classes.size(), backloggedClasses) * 2,
                    () -> "class " + serviceClass.name() + " was bypassed " + serviceClass.bypassCount() + " times");
        }
    }

    /** Removes a run; returns whether it was queued. */
    boolean remove(Run run) {
        ServiceClassQueue serviceClass = classes.get(run.work().profile());
        if (serviceClass == null || !serviceClass.remove(run)) {
            return false;
        }
        release(run);
        return true;
    }

    private void release(Run run) {
        evictionOrder.remove(run);
        queuedBytes -= size(run);
    }

    /** Removes and returns the runs that can no longer meet their deadlines. */
    List<Run> takeUnreachable(Instant now, ThroughputEstimate throughput) {
        List<Run> unreachable = new ArrayList<>();
        for (Run run : List.copyOf(evictionOrder)) {
            ServiceClassQueue serviceClass = classes.get(run.work().profile());
            Duration wait = throughput.queueWait(costDownToTier(run.tier() - 1), 0, serviceClass.shareFraction());
            long cost = serviceClass.isLate(run) ? run.cost() * LATE_RUN_TIME_FACTOR : run.cost();
            Duration needed = wait.plus(throughput.runTime(cost));
            if (run.timeLeft(now).compareTo(needed) < 0 && remove(run)) {
                unreachable.add(run);
            }
        }
        return unreachable;
    }

    /** Removes and returns all runs. */
    List<Run> takeAll() {
        List<Run> all = new ArrayList<>(evictionOrder);
        all.forEach(this::remove);
        return all;
    }
}
