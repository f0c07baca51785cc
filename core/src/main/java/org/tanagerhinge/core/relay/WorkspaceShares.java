package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * Limits each workspace to a fair share of a service while the service is short of capacity.
 *
 * <p>Shares are max-min fair among the requests of the least urgent rank of a service, measured in work. The capacity
 * is the work of that rank that was admitted in the last seconds. A workspace over its share has at most the excess
 * fraction of its requests refused before they are sent, which leaves the capacity to the others. Requests are only
 * refused within a second of a sign that the service is short. More urgent requests are never refused.
 */
public final class WorkspaceShares {
    /** Time between two computations of the levels, which visit all workspaces. */
    static final long LEVEL_MILLIS = 250;
    /** Time for which a service counts as short of capacity after a sign of it. */
    static final long SHORT_MILLIS = 1_000;
    /** Figures are reported for this long after a sign of a shortage; peers' figures are valid as long. */
    private static final long REPORT_MILLIS = PeerUses.VALID_MILLIS;

    private final PeerUses peers = PeerUses.create();
    private final Map<String, Service> services = new HashMap<>();
    private UseReporter reporter;

    private WorkspaceShares() {}

    /** Creates shares without any figures. */
    public static WorkspaceShares create() {
        return new WorkspaceShares();
    }

    /**
     * Describes the work that a request asks for.
     *
     * @param rank 0 is the most urgent
     * @param workspace name; empty for callers without a key, who count as one workspace
     * @param leastUrgent whether no request for the service can have a less urgent rank
     * @param work tokens at model engines, milliseconds at plain servers
     */
    public record Ask(String service, int rank, boolean leastUrgent, String workspace, double work) {
        private int workspaceHash() {
            return workspace.hashCode();
        }
    }

    /**
     * Describes by how much a workspace was over its share.
     *
     * @param share work per second that the workspace may have
     * @param use work per second that the workspace asks for
     * @param peerFiguresAgeMillis age of the oldest peer figure in the decision; negative if there was none
     */
    public record Excess(String workspace, double share, double use, long peerFiguresAgeMillis) {}

    private static final class Service {
        private final TreeMap<Integer, ShareGroup> groupByRank = new TreeMap<>();
        private long refreshedAtMillis = Long.MIN_VALUE / 2;
        private long shortAtMillis = Long.MIN_VALUE / 2;
        private long peersShortAtMillis = Long.MIN_VALUE / 2;
        private long unadmittedAtMillis = Long.MIN_VALUE / 2;

        /** Computes the levels of all ranks, a few times per second. */
        private void refreshIfDue(long nowMillis) {
            if (nowMillis - refreshedAtMillis < LEVEL_MILLIS) {
                return;
            }
            refreshedAtMillis = nowMillis;
            WorkRate allRequests = WorkRate.NONE;
            for (ShareGroup group : groupByRank.values()) {
                group.collect(nowMillis);
                allRequests = allRequests.plus(group.meter().requests(nowMillis));
            }
            for (ShareGroup group : groupByRank.values()) {
                group.computeLevel(allRequests, isShort(nowMillis), nowMillis);
            }
        }

        private void recordShort(long nowMillis) {
            shortAtMillis = nowMillis;
            unadmittedAtMillis = nowMillis;
        }

        /** Peers' signs don't count while this node admits everything: a faulty peer must not cause refusals here. */
        private boolean isShort(long nowMillis) {
            long signAtMillis = nowMillis - unadmittedAtMillis <= SHORT_MILLIS
                    ? Math.max(shortAtMillis, peersShortAtMillis)
                    : shortAtMillis;
            return nowMillis - signAtMillis <= SHORT_MILLIS;
        }

        /** Returns the groups that shares limit; another one tells peers of a shortage if there is none. */
        private List<ShareGroup> reportedGroups() {
            List<ShareGroup> limited =
                    groupByRank.values().stream().filter(ShareGroup::limited).toList();
            return limited.isEmpty() && !groupByRank.isEmpty()
                    ? List.of(groupByRank.lastEntry().getValue())
                    : limited;
        }

        private boolean reports(long nowMillis) {
            return nowMillis - Math.max(shortAtMillis, peersShortAtMillis) <= REPORT_MILLIS;
        }
    }

    /** Records a request that a caller sent, whether it is refused or not. */
    public void recordAsked(Ask ask, long nowMillis) {
        group(ask, nowMillis).meter().recordAsked(ask.workspaceHash(), ask.work(), nowMillis);
    }

    /** Records that a request was sent to a server. */
    public void recordAdmitted(Ask ask, long nowMillis) {
        ShareGroup group = group(ask, nowMillis);
        group.meter().recordAdmitted(ask.workspaceHash(), ask.work(), nowMillis);
        group.headroom().recordAdmitted(1);
    }

    /** Records that a server rejected a request that was sent to it, so that its work wasn't admitted. */
    public void recordReturned(Ask ask, long nowMillis) {
        ShareGroup group = group(ask, nowMillis);
        group.meter().recordReturned(ask.workspaceHash(), ask.work(), nowMillis);
        group.headroom().recordAdmitted(-1);
        service(ask.service()).unadmittedAtMillis = nowMillis;
    }

    /** Records a sign that a service is short of capacity. */
    public void recordShort(String service, long nowMillis) {
        service(service).recordShort(nowMillis);
    }

    /** Returns whether a service is short of capacity, by the signs that this node or its peers saw. */
    public boolean isShort(String service, long nowMillis) {
        Service known = services.get(service);
        return known != null && known.isShort(nowMillis);
    }

    /**
     * Returns by how much the workspace of a request is over its share; empty if the request may be sent, as a request
     * always may that isn't of the least urgent rank.
     *
     * @param refusalScale factor between 0 and 1 of the excess fraction, for servers that still have capacity
     * @param random draws a number uniformly from 0 to 1, which selects the requests to refuse
     */
    public Optional<Excess> excess(Ask ask, double refusalScale, long nowMillis, DoubleSupplier random) {
        if (!ask.leastUrgent()) {
            return Optional.empty();
        }
        ShareGroup group = group(ask, nowMillis);
        if (isShort(ask.service(), nowMillis) && refused(group, ask, refusalScale, nowMillis, random)) {
            service(ask.service()).unadmittedAtMillis = nowMillis;
            return Optional.of(new Excess(
                    ask.workspace(), group.level(), group.demand(ask.workspaceHash()), group.peerFiguresAgeMillis()));
        }
        group.headroom().recordAllowed();
        return Optional.empty();
    }

    private boolean refused(ShareGroup group, Ask ask, double refusalScale, long nowMillis, DoubleSupplier random) {
        service(ask.service()).refreshIfDue(nowMillis);
        OptionalDouble fraction = group.admittedFraction(ask.workspaceHash(), ask.work());
        return fraction.isPresent() && random.getAsDouble() >= 1 - (1 - fraction.getAsDouble()) * refusalScale;
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, added -> new Service());
    }

    private ShareGroup group(Ask ask, long nowMillis) {
        ShareGroup group = service(ask.service())
                .groupByRank
                .computeIfAbsent(ask.rank(), rank -> ShareGroup.of(ask.service(), rank, peers, nowMillis));
        group.setLimited(ask.leastUrgent());
        return group;
    }

    /** Records the figures of a peer's report. */
    public void accept(String peer, List<WorkspaceUses> report, long nowMillis) {
        peers.accept(peer, report, nowMillis);
        for (WorkspaceUses uses : report) {
            Service known = services.get(uses.service());
            if (known != null && uses.shortAgeMillis().isPresent()) {
                known.peersShortAtMillis = Math.max(
                        known.peersShortAtMillis,
                        nowMillis - Math.max(0, uses.shortAgeMillis().getAsLong()));
            }
        }
    }

    /** Returns the figures for this node's next report to its peers; none without a shortage. */
    public List<WorkspaceUses> nextReport(int peerCount, long nowMillis) {
        peers.forgetExpired(nowMillis);
        if (reporter == null) {
            reporter = UseReporter.create(nowMillis);
        }
        List<ShareGroup> groups = services.values().stream()
                .filter(service -> service.reports(nowMillis))
                .flatMap(service -> service.reportedGroups().stream())
                .toList();
        groups.forEach(group -> services.get(group.service()).refreshIfDue(nowMillis));
        return reporter.next(groups, peerCount, nowMillis, group -> shortAge(group.service(), nowMillis));
    }

    /** Returns the age of this node's own last sign; a peer's isn't repeated, or it would never end. */
    private OptionalLong shortAge(String service, long nowMillis) {
        long ageMillis = nowMillis - services.get(service).shortAtMillis;
        return ageMillis <= SHORT_MILLIS ? OptionalLong.of(ageMillis) : OptionalLong.empty();
    }

    /** Returns the number of figures of peers that are kept. */
    int peerFigureCount() {
        return peers.size();
    }
}
