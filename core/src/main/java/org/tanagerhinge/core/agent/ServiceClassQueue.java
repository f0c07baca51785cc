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
import org.tanagerhinge.core.message.SchedulingParameters;

/**
 * Orders the queued runs of one service class (a profile) and accounts for the class's guaranteed share.
 *
 * <p>Between workspaces the order is start-time fair queueing by cost, so that a workspace with many requests does not
 * crowd out one with few; within a workspace it is earliest deadline first. Runs that can no longer meet their target
 * are served last: served in turn during a long burst, each run would be dispatched just after its target and all
 * would miss it.
 */
final class ServiceClassQueue {
    /** Minimum share of every class; without it a long burst of a higher tier starves the class. */
    private static final double MIN_SHARE_PERCENT = 1;

    private static final double PERCENT = 100;
    private static final Comparator<Run> BY_DEADLINE =
            Comparator.comparing(Run::deadline).thenComparing(Run::id);

    /** Holds the queued runs of one workspace and its virtual start time. */
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
    /** Runs that can no longer meet their target but may still meet their deadline. */
    private final PriorityQueue<Run> lateRuns = new PriorityQueue<>(BY_DEADLINE);

    private final Map<WorkspaceId, WorkspaceQueue> queueByWorkspace = new HashMap<>();
    /** Virtual start times of workspaces whose queue ran empty while ahead of the others. */
    private final Map<WorkspaceId, Double> virtualStartWhenEmptied = new HashMap<>();

    private final TreeSet<WorkspaceQueue> byVirtualStart =
            new TreeSet<>(Comparator.comparingDouble((WorkspaceQueue queue) -> queue.virtualStart)
                    .thenComparing(queue -> queue.workspace));
    private SchedulingParameters scheduling;
    private double virtualTime;
    private double shareCredit;
    private double normalizedService;
    private int size;
    private long cost;
    private int bypassCount;
    private Instant yieldingSince;

    ServiceClassQueue(ProfileName name, SchedulingParameters scheduling) {
        this.name = name;
        this.scheduling = scheduling;
    }

    ProfileName name() {
        return name;
    }

    SchedulingParameters scheduling() {
        return scheduling;
    }

    void scheduling(SchedulingParameters newScheduling) {
        scheduling = newScheduling;
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns the total cost of the queued runs. */
    long cost() {
        return cost;
    }

    double shareFraction() {
        return Math.max(scheduling.sharePercent(), MIN_SHARE_PERCENT) / PERCENT;
    }

    void add(Run run) {
        WorkspaceQueue queue = queueByWorkspace.get(run.work().workspace());
        if (queue == null) {
            double virtualStart = Math.max(
                    virtualTime, virtualStartWhenEmptied.getOrDefault(run.work().workspace(), 0.0));
            queue = new WorkspaceQueue(run.work().workspace(), virtualStart);
            queueByWorkspace.put(run.work().workspace(), queue);
            byVirtualStart.add(queue);
        }
        queue.runs.add(run);
        size++;
        cost += run.cost();
    }

    /** Moves runs at the head of the order that can no longer meet their target to the late runs. */
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

    /** Returns the late run with the latest deadline, if any. */
    Optional<Run> lastLateRun() {
        return lateRuns.stream().max(BY_DEADLINE);
    }

    /** Returns whether a run was moved to the late runs. */
    boolean isLate(Run run) {
        return lateRuns.contains(run);
    }

    /** Returns the run to dispatch next in this class, without removing it. */
    Run peek() {
        return byVirtualStart.isEmpty()
                ? lateRuns.peek()
                : byVirtualStart.first().runs.peek();
    }

    /** Removes and returns the run to dispatch next in this class. */
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
            queue.virtualStart += run.cost() / run.work().scheduling().workspaceWeight();
        }
        if (queue.runs.isEmpty()) {
            queueByWorkspace.remove(queue.workspace);
            // A workspace that queues again at once must not lose the record of the service it just received.
            virtualStartWhenEmptied.put(queue.workspace, queue.virtualStart);
            removeElapsedStarts();
        } else {
            byVirtualStart.add(queue);
        }
        return run;
    }

    private void removeElapsedStarts() {
        virtualStartWhenEmptied.values().removeIf(virtualStart -> virtualStart <= virtualTime);
    }

    /** Removes a run; returns whether it was queued. */
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

    /** Credits the class with its share of a cost that was dispatched while the class had queued runs. */
    void accrueCredit(double dispatchedCost) {
        shareCredit += shareFraction() * dispatchedCost;
    }

    /** Charges the class for a run of its own that was dispatched. */
    void recordDispatch(double dispatchedCost) {
        shareCredit = Math.max(0, shareCredit - dispatchedCost);
        normalizedService += dispatchedCost / shareFraction();
        bypassCount = 0;
        yieldingSince = null;
    }

    double normalizedService() {
        return normalizedService;
    }

    /** Advances a class that was idle, so that it cannot claim service for the time in which it had no runs. */
    void catchUpTo(double minNormalizedService) {
        normalizedService = Math.max(normalizedService, minNormalizedService);
    }

    /** Returns whether the class's credit covers its next run. */
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
