package org.tanagerhinge.core.duty;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * When a node tells the holder what it has counted: soon after the end of each window, and meanwhile so often that a node that
 * is killed takes little with it.
 */
public final class UsageTeller {
    /** Least time between two reports within a window, in milliseconds. */
    private static final long LEAST_MILLIS = 900;
    /** The same for each node of the system: bounds what the holder hears in a second. */
    private static final long MILLIS_A_NODE = 30;
    /** Nodes tell of a window's end spread over this time, in milliseconds. */
    private static final long SPREAD_MILLIS = 250;

    private static final long RETRY_MILLIS = 200;

    private final DutySettings terms;
    private final NodeClock clock;
    private final MedianClock time;
    private final RandomGenerator random;
    private final UsageCounter counter;
    private boolean inFlight;
    private long nextTry;
    private long toldTo;
    private long toldAt;
    private long toldUntil = Long.MIN_VALUE;
    private long toldCount;
    private boolean toldLast;
    private long spread;

    private UsageTeller(
            DutySettings terms, NodeClock clock, MedianClock time, RandomGenerator random, UsageCounter counter) {
        this.terms = terms;
        this.clock = clock;
        this.time = time;
        this.random = random;
        this.counter = counter;
    }

    /** Returns a teller of a node that has told nothing yet. */
    public static UsageTeller of(
            DutySettings terms, NodeClock clock, MedianClock time, RandomGenerator random, UsageCounter counter) {
        return new UsageTeller(terms, clock, time, random, counter);
    }

    /** Returns the node that seems to hold the duty. */
    public static Optional<DutyPeer> holder(List<DutyPeer> others) {
        return others.stream()
                .filter(peer -> peer.alive() && peer.announcement().fencingToken() > 0)
                .max(Comparator.comparingLong(peer -> peer.announcement().fencingToken()));
    }

    /**
     * Returns what is to be told now, if anything is.
     *
     * @param last whether the process counts no more
     */
    public Optional<UsageReport> due(DutyPeer holder, int nodes, boolean last) {
        long now = clock.steadyMillis();
        if (inFlight || now < nextTry || !due(holder.announcement().fencingToken(), now, nodes, last)) {
            return Optional.empty();
        }
        inFlight = true;
        spread = random.nextLong(SPREAD_MILLIS);
        return Optional.of(counter.snapshot(last));
    }

    private boolean due(long token, long now, int nodes, boolean last) {
        if (token != toldTo || (last && !toldLast)) {
            return true;
        }
        long window = terms.windowAt(time.epochMillis() - spread);
        if (window > terms.windowAt(toldUntil)) {
            return true;
        }
        return counter.startedRequests() != toldCount && now - toldAt >= Math.max(LEAST_MILLIS, MILLIS_A_NODE * nodes);
    }

    /** The holder of a token has taken a report. */
    public void taken(long token, UsageReport report, long countedThen, long fixedThrough) {
        inFlight = false;
        toldTo = token;
        toldAt = clock.steadyMillis();
        toldUntil = report.asOfMillis();
        toldCount = countedThen;
        toldLast = report.last();
        counter.dropThrough(fixedThrough);
    }

    /** The holder couldn't be told. */
    public void failed() {
        inFlight = false;
        nextTry = clock.steadyMillis() + RETRY_MILLIS + random.nextLong(RETRY_MILLIS);
    }

    /** Returns whether the holder knows that the process counts no more. */
    public boolean toldLast() {
        return toldLast;
    }

    /** Returns how many requests were counted, to be given back once a report was taken. */
    public long counted() {
        return counter.startedRequests();
    }
}
