package org.tanagerhinge.core.duty;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * When a node tells the holder what it has counted: soon after the end of each window, and meanwhile so often that a node that
 * is killed takes little with it.
 */
public final class UsageReporter {
    /** Least time between two reports within a window, in milliseconds. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 900;
    /** The same for each node of the system: bounds what the holder hears in a second. */
    private static final long REPORT_INTERVAL_PER_NODE_MILLIS = 30;
    /** Nodes tell of a window's end spread over this time, in milliseconds. */
    private static final long MAX_JITTER_MILLIS = 250;

    private static final long RETRY_DELAY_MILLIS = 200;

    private final DutySettings settings;
    private final NodeClock clock;
    private final MedianClock medianClock;
    private final RandomGenerator random;
    private final UsageCounter counter;
    private boolean inFlight;
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

    /** Returns a teller of a node that has told nothing yet. */
    public static UsageReporter of(
            DutySettings settings,
            NodeClock clock,
            MedianClock medianClock,
            RandomGenerator random,
            UsageCounter counter) {
        return new UsageReporter(settings, clock, medianClock, random, counter);
    }

    /** Returns the node that seems to hold the duty. */
    public static Optional<DutyPeer> findHolder(List<DutyPeer> peers) {
        return peers.stream()
                .filter(peer -> peer.alive() && peer.announcement().fencingToken() > 0)
                .max(Comparator.comparingLong(peer -> peer.announcement().fencingToken()));
    }

    /**
     * Returns what is to be told now, if anything is.
     *
     * @param last whether the process counts no more
     */
    public Optional<UsageReport> pollReport(DutyPeer holder, int nodeCount, boolean last) {
        long nowMillis = clock.steadyMillis();
        if (inFlight
                || nowMillis < nextAttemptMillis
                || !isReportDue(holder.announcement().fencingToken(), nowMillis, nodeCount, last)) {
            return Optional.empty();
        }
        inFlight = true;
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

    /** The holder of a token has taken a report. */
    public void acknowledged(long holderToken, UsageReport report, long countAtSend, long committedThrough) {
        inFlight = false;
        acknowledgedToken = holderToken;
        acknowledgedAtMillis = clock.steadyMillis();
        acknowledgedThroughMillis = report.asOfMillis();
        acknowledgedCount = countAtSend;
        lastReportAcknowledged = report.last();
        counter.dropThrough(committedThrough);
    }

    /** The holder couldn't be told. */
    public void failed() {
        inFlight = false;
        nextAttemptMillis = clock.steadyMillis() + RETRY_DELAY_MILLIS + random.nextLong(RETRY_DELAY_MILLIS);
    }

    /** Returns whether the holder knows that the process counts no more. */
    public boolean lastReportAcknowledged() {
        return lastReportAcknowledged;
    }

    /** Returns how many requests were counted, to be given back once a report was taken. */
    public long startedRequests() {
        return counter.startedRequests();
    }
}
