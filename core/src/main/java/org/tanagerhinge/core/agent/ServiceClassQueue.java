package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.message.ClassTerms;

/**
 * The queued runs of one class.
 *
 * <p>Between workspaces the order is start-time fair queueing by cost, so that a workspace with many requests does not
 * crowd out one with few; within a workspace it is earliest deadline first. A run that can no longer meet its target
 * goes behind all that still can: were it served in its turn, under a long burst each run would be served just after its
 * target, and none would meet it.
 */
final class ServiceClassQueue {
    /** No class is without a guaranteed share, or a long burst of a higher tier would starve it. */
    private static final double MIN_SHARE_PERCENT = 1;

    private static final double PERCENT = 100;
    private static final Comparator<Run> BY_DEADLINE =
            Comparator.comparing(Run::deadline).thenComparing(Run::id);

    /** One workspace's runs and its virtual start time. */
    private static final class WorkspaceQueue {
        private final PriorityQueue<Run> runs = new PriorityQueue<>(BY_DEADLINE);
        private final WorkspaceId workspace;
        private double virtualStart;

        WorkspaceQueue(WorkspaceId workspace, double virtualStart) {
            this.workspace = workspace;
            this.virtualStart = virtualStart;
        }
    }

    private final ProfileName name;
    /** Runs that have missed their target and still have time until their deadline. */
    private final PriorityQueue<Run> lateRuns = new PriorityQueue<>(BY_DEADLINE);

    private final Map<WorkspaceId, WorkspaceQueue> queueByWorkspace = new HashMap<>();
    /** Start times of lanes that ran empty while ahead of the others. */
    private final Map<WorkspaceId, Double> virtualStartOfEmptied = new HashMap<>();

    private final TreeSet<WorkspaceQueue> byVirtualStart =
            new TreeSet<>(Comparator.comparingDouble((WorkspaceQueue queue) -> queue.virtualStart)
                    .thenComparing(queue -> queue.workspace));
    private ClassTerms terms;
    private double virtualTime;
    private double shareCredit;
    private double normalizedService;
    private int size;
    private long cost;
    private int bypassCount;
    private Instant yieldingSince;

    ServiceClassQueue(ProfileName name, ClassTerms terms) {
        this.name = name;
        this.terms = terms;
    }

    ProfileName name() {
        return name;
    }

    ClassTerms terms() {
        return terms;
    }

    void terms(ClassTerms next) {
        terms = next;
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns the summed cost of the queued runs. */
    long cost() {
        return cost;
    }

    double shareFraction() {
        return Math.max(terms.sharePercent(), MIN_SHARE_PERCENT) / PERCENT;
    }

    void add(Run run) {
        WorkspaceQueue queue = queueByWorkspace.get(run.work().workspace());
        if (queue == null) {
            double virtualStart = Math.max(
                    virtualTime, virtualStartOfEmptied.getOrDefault(run.work().workspace(), 0.0));
            queue = new WorkspaceQueue(run.work().workspace(), virtualStart);
            queueByWorkspace.put(run.work().workspace(), queue);
            byVirtualStart.add(queue);
        }
        queue.runs.add(run);
        size++;
        cost += run.cost();
    }

    /** Moves the runs at the head that can no longer meet their targets behind the others. */
    void demoteLate(Instant now, Duration firstOutputLatency) {
        while (!byVirtualStart.isEmpty()
                && byVirtualStart
                        .first()
                        .runs
                        .peek()
                        .latestDispatch(firstOutputLatency)
                        .isBefore(now)) {
            lateRuns.add(takeFromWorkspace(false));
        }
    }

    /** Returns the run that is past its target and will be served last, if there is one. */
    Optional<Run> lastLateRun() {
        return lateRuns.stream().max(BY_DEADLINE);
    }

    /** Returns whether a run is among those that can no longer meet their targets. */
    boolean isLate(Run run) {
        return lateRuns.contains(run);
    }

    /** Returns the run that is next in this class. */
    Run peek() {
        return byVirtualStart.isEmpty()
                ? lateRuns.peek()
                : byVirtualStart.first().runs.peek();
    }

    /** Takes the run that is next in this class. */
    Run take() {
        Run run = byVirtualStart.isEmpty() ? lateRuns.poll() : takeFromWorkspace(true);
        recordRemoval(run);
        return run;
    }

    private Run takeFromWorkspace(boolean dispatched) {
        WorkspaceQueue queue = byVirtualStart.pollFirst();
        Run run = queue.runs.poll();
        if (dispatched) {
            virtualTime = queue.virtualStart;
            queue.virtualStart += run.cost() / run.work().terms().workspaceWeight();
        }
        if (queue.runs.isEmpty()) {
            queueByWorkspace.remove(queue.workspace);
            // A lane that comes back at once must not forget what it was just served.
            virtualStartOfEmptied.put(queue.workspace, queue.virtualStart);
            evictPassedStarts();
        } else {
            byVirtualStart.add(queue);
        }
        return run;
    }

    private void evictPassedStarts() {
        virtualStartOfEmptied.values().removeIf(virtualStart -> virtualStart <= virtualTime);
    }

    /** Takes a given run out of the queue; returns whether it was there. */
    boolean remove(Run run) {
        if (lateRuns.remove(run)) {
            recordRemoval(run);
            return true;
        }
        WorkspaceQueue queue = queueByWorkspace.get(run.work().workspace());
        if (queue == null || !queue.runs.remove(run)) {
            return false;
        }
        if (queue.runs.isEmpty()) {
            byVirtualStart.remove(queue);
            queueByWorkspace.remove(queue.workspace);
        }
        recordRemoval(run);
        return true;
    }

    private void recordRemoval(Run run) {
        size--;
        cost -= run.cost();
        if (size == 0) {
            shareCredit = 0;
            bypassCount = 0;
            yieldingSince = null;
        }
    }

    double shareCredit() {
        return shareCredit;
    }

    /** Adds the class's share of something dispatched while this class had work queued. */
    void accrueCredit(double dispatchedCost) {
        shareCredit += shareFraction() * dispatchedCost;
    }

    /** Takes off what the class itself was served. */
    void recordDispatch(double dispatchedCost) {
        shareCredit = Math.max(0, shareCredit - dispatchedCost);
        normalizedService += dispatchedCost / shareFraction();
        bypassCount = 0;
        yieldingSince = null;
    }

    double normalizedService() {
        return normalizedService;
    }

    /** Brings a class that was idle up to the others, so that it cannot claim the time it did not use. */
    void catchUpTo(double minNormalizedService) {
        normalizedService = Math.max(normalizedService, minNormalizedService);
    }

    /** Returns whether the class's unused share pays for its next run. */
    boolean isOwed() {
        return !isEmpty() && shareCredit >= peek().cost();
    }

    int bypassCount() {
        return bypassCount;
    }

    void recordBypass() {
        bypassCount++;
    }

    Instant yieldingSince() {
        return yieldingSince;
    }

    void startYielding(Instant now) {
        if (yieldingSince == null) {
            yieldingSince = now;
        }
    }
}
