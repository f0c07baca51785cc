package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** Holds the shares of the workspaces that send requests of one rank to one service. */
final class ShareGroup {
    /**
     * Smallest fraction of a workspace's requests that is admitted, relative to the fraction of all requests; no
     * workspace and no kind may be served less than a quarter as often as all are.
     */
    private static final double MIN_RELATIVE_FRACTION = 0.35;
    /**
     * Smallest fraction of large requests that is admitted, relative to the fraction of all requests of the rank; large
     * requests must be served at least half as often as their kind.
     */
    private static final double MIN_RELATIVE_LARGE_FRACTION = 0.65;
    /** A workspace whose demand would reach this fraction of the share if all nodes had it is near its share. */
    private static final double NEAR_FRACTION = 0.5;
    /**
     * Fraction of the demand that is taken as the capacity, at most, when workspaces near their share are selected. At
     * the full demand the level would be infinite, and no workspace would be reported at the first sign of a shortage.
     */
    private static final double NEAR_CAPACITY_FRACTION = 0.9;

    /**
     * Largest ratio of the work subtracted for peers' small workspaces to what the headroom allows of it. With 1, small
     * workspaces were served 90.3% instead of 91.4% from 3 s after a burst began (40 seeds), since they ask for more
     * than that until the hot workspace is limited.
     */
    private static final double MAX_SMALL_FACTOR = 2;

    private final String service;
    private final int rank;
    private final WorkMeter meter;
    private final PeerUses peers;
    private final ShareHeadroom headroom = ShareHeadroom.create();
    private boolean limited;
    private long headroomAtMillis = Long.MIN_VALUE / 2;
    private Map<Integer, WorkRate> ownWorkByWorkspace = Map.of();
    private Map<Integer, WorkRate> workByWorkspace = Map.of();
    private PeerUses.Totals peerTotals = new PeerUses.Totals(WorkRate.NONE, WorkRate.NONE, -1);
    private WorkRate requests = WorkRate.NONE;
    private double minFraction = MIN_RELATIVE_FRACTION;
    private double level = Double.POSITIVE_INFINITY;

    private ShareGroup(String service, int rank, PeerUses peers, long nowMillis) {
        this.service = service;
        this.rank = rank;
        this.peers = peers;
        this.meter = WorkMeter.create(nowMillis);
    }

    static ShareGroup of(String service, int rank, PeerUses peers, long nowMillis) {
        return new ShareGroup(service, rank, peers, nowMillis);
    }

    String service() {
        return service;
    }

    int rank() {
        return rank;
    }

    /** Returns whether shares limit the requests. */
    boolean limited() {
        return limited;
    }

    /** Sets whether shares limit the requests; they do at the least urgent rank of the service. */
    void setLimited(boolean limited) {
        this.limited = limited;
    }

    WorkMeter meter() {
        return meter;
    }

    ShareHeadroom headroom() {
        return headroom;
    }

    /** Returns the highest work per second that a workspace is allowed; infinite if all are. */
    double level() {
        return level;
    }

    /** Returns the work per second that a workspace asks for, at this node and at those peers that reported it. */
    double demand(int workspace) {
        return workByWorkspace.getOrDefault(workspace, WorkRate.NONE).asked();
    }

    /** Returns the age of the oldest figure of a peer in the level; negative if there is none. */
    long peerFiguresAgeMillis() {
        return peerTotals.oldestMillis();
    }

    /** Returns the fraction of a workspace's requests that is admitted; empty if all are. */
    OptionalDouble admittedFraction(int workspace, double work) {
        double demand = demand(workspace);
        if (demand <= level || !othersAsk(workspace)) {
            return OptionalDouble.empty();
        }
        double smallest = meter.large(work)
                ? Math.max(minFraction, MIN_RELATIVE_LARGE_FRACTION * requests.admittedFraction())
                : minFraction;
        return OptionalDouble.of(Math.max(level / demand, smallest));
    }

    private boolean othersAsk(int workspace) {
        return workByWorkspace.size() > 1
                || !workByWorkspace.containsKey(workspace)
                || peerTotals.small().asked() > 0;
    }

    /** Collects the figures of this node and its peers. */
    void collect(long nowMillis) {
        ownWorkByWorkspace = meter.rates(nowMillis);
        workByWorkspace = new HashMap<>(ownWorkByWorkspace);
        peerTotals = peers.collect(
                service, rank, nowMillis, (work, workspace) -> workByWorkspace.merge(workspace, work, WorkRate::plus));
        requests = meter.requests(nowMillis).plus(peerTotals.requests());
    }

    /**
     * Computes the level from the collected figures.
     *
     * @param allRequests rate of this node's requests of all ranks at the service; peers report only the least urgent
     *     rank
     * @param isShort whether the service is short of capacity; otherwise the headroom has nothing to learn from
     */
    void computeLevel(WorkRate allRequests, boolean isShort, long nowMillis) {
        if (isShort) {
            headroom.update(nowMillis - headroomAtMillis);
            headroomAtMillis = nowMillis;
        }
        minFraction = MIN_RELATIVE_FRACTION * Math.max(requests.admittedFraction(), allRequests.admittedFraction());
        double admitted = total(workByWorkspace).plus(peerTotals.small()).admitted();
        level = admitted <= 0 ? Double.POSITIVE_INFINITY : Math.max(level(headroom.factor() * admitted), ownLevel());
    }

    private static WorkRate total(Map<Integer, WorkRate> workByWorkspace) {
        return workByWorkspace.values().stream().reduce(WorkRate.NONE, WorkRate::plus);
    }

    /** Returns the level at a capacity. A wrong figure of peers' small work can't use up the capacity. */
    private double level(double capacity) {
        WorkRate small = peerTotals.small();
        double smallWork = Math.min(small.asked(), MAX_SMALL_FACTOR * headroom.factor() * small.admitted());
        return ShareLevel.of(workByWorkspace.values(), capacity - smallWork, minFraction);
    }

    /**
     * Returns the level from this node's own figures, below which wrong figures of a peer can't lower the level. It is
     * at most the largest own demand, so that a workspace that sends more elsewhere can still be over its share.
     */
    private double ownLevel() {
        double largest = ownWorkByWorkspace.values().stream()
                .mapToDouble(WorkRate::asked)
                .max()
                .orElse(0);
        double capacity = headroom.factor() * total(ownWorkByWorkspace).admitted();
        return Math.min(largest, ShareLevel.of(ownWorkByWorkspace.values(), capacity, minFraction));
    }

    /**
     * Returns this node's figures for its peers; none of ranks that shares don't limit.
     *
     * @param nodeCount number of nodes, this one included
     */
    Map<Integer, WorkRate> near(int nodeCount, long nowMillis) {
        if (!limited) {
            return Map.of();
        }
        WorkRate total = total(workByWorkspace).plus(peerTotals.small());
        double threshold = NEAR_FRACTION * level(Math.min(total.admitted(), NEAR_CAPACITY_FRACTION * total.asked()));
        Map<Integer, WorkRate> near = new HashMap<>();
        meter.rates(nowMillis).forEach((workspace, work) -> {
            if (Math.max(work.asked() * nodeCount, demand(workspace)) >= threshold) {
                near.put(workspace, work);
            }
        });
        return near;
    }
}
