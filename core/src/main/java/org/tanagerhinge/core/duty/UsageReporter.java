package org.tanagerhinge.core.duty;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Schedules a node's usage reports to the duty holder: soon after the end of each window, and regularly within a
 * window to bound the counts that are lost if the node crashes.
 */
public final class UsageReporter {
    /** Minimum interval between reports within a window. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 900;
    /** Minimum interval per node of the cluster: bounds the report rate at the holder. */
    private static final long REPORT_INTERVAL_PER_NODE_MILLIS = 30;
    /** Maximum random delay of the report after the end of a window: spreads the load on the holder. */
    private static final long MAX_JITTER_MILLIS = 250;

    private static final long RETRY_DELAY_MILLIS = 200;

    private final DutySettings settings;
    private final NodeClock clock;
    private final MedianClock medianClock;
    private final RandomGenerator random;
    private final UsageCounter counter;
    private final PendingCall call = new PendingCall();
    private long nextAttemptMillis;
    private long acknowledgedToken;
    private long acknowledgedAtMillis;
    private long acknowledgedThroughMillis = Long.MIN_VALUE;
    private long acknowledgedCount;
    private boolean lastReportAcknowledged;
    private long jitterMillis;

    private UsageReporter(
            DutySettings settings,
            NodeClock clock,
            MedianClock medianClock,
            RandomGenerator random,
            UsageCounter counter) {
        this.settings = settings;
        this.clock = clock;
        this.medianClock = medianClock;
        this.random = random;
        this.counter = counter;
    }

    /** Returns a reporter that has sent nothing yet. */
    public static UsageReporter of(
            DutySettings settings,
            NodeClock clock,
            MedianClock medianClock,
            RandomGenerator random,
            UsageCounter counter) {
        return new UsageReporter(settings, clock, medianClock, random, counter);
    }

    /** Returns the live peer with the highest fencing token, which is the holder as far as this node knows. */
    public static Optional<DutyPeer> findHolder(List<DutyPeer> peers) {
        return peers.stream()
                .filter(peer -> peer.alive() && peer.announcement().fencingToken() > 0)
                .max(Comparator.comparingLong(peer -> peer.announcement().fencingToken()));
    }

    /**
     * Returns the report to send to the holder now, or nothing if none is due or one is in flight.
     *
     * @param nodeCount number of nodes in the cluster
     * @param last whether the process has stopped counting
     */
    public Optional<UsageReport> pollReport(DutyPeer holder, int nodeCount, boolean last) {
        long nowMillis = clock.steadyMillis();
        if (call.inFlight(nowMillis)
                || nowMillis < nextAttemptMillis
                || !isReportDue(holder.announcement().fencingToken(), nowMillis, nodeCount, last)) {
            return Optional.empty();
        }
        call.sent(nowMillis);
        jitterMillis = random.nextLong(MAX_JITTER_MILLIS);
        return Optional.of(counter.snapshot(last));
    }

    private boolean isReportDue(long holderToken, long nowMillis, int nodeCount, boolean last) {
        if (holderToken != acknowledgedToken || (last && !lastReportAcknowledged)) {
            return true;
        }
        long window = settings.windowAt(medianClock.epochMillis() - jitterMillis);
        if (window > settings.windowAt(acknowledgedThroughMillis)) {
            return true;
        }
        return counter.startedRequests() != acknowledgedCount
                && nowMillis - acknowledgedAtMillis
                        >= Math.max(MIN_REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_PER_NODE_MILLIS * nodeCount);
    }

    /**
     * Records that the holder has acknowledged a report.
     *
     * @param countAtSend {@link #startedRequests()} when the report was sent
     * @param committedThrough newest committed window, whose counts need not be reported again
     */
    public void acknowledged(long holderToken, UsageReport report, long countAtSend, long committedThrough) {
        call.ended();
        acknowledgedToken = holderToken;
        acknowledgedAtMillis = clock.steadyMillis();
        acknowledgedThroughMillis = report.asOfMillis();
        acknowledgedCount = countAtSend;
        lastReportAcknowledged = report.last();
        counter.dropThrough(committedThrough);
    }

    /** Records that a report failed and schedules a retry. */
    public void failed() {
        call.ended();
        nextAttemptMillis = clock.steadyMillis() + RETRY_DELAY_MILLIS + random.nextLong(RETRY_DELAY_MILLIS);
    }

    /** Returns whether the holder has acknowledged this process's last report. */
    public boolean lastReportAcknowledged() {
        return lastReportAcknowledged;
    }

    /** Returns the number of counted requests, to be passed to {@link #acknowledged} with the report sent now. */
    public long startedRequests() {
        return counter.startedRequests();
    }
}
