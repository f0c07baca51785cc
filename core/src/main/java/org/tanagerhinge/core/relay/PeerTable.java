package org.tanagerhinge.core.relay;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Tracks the other nodes by their reports, and decides which node reads the platform's store for all.
 *
 * <p>If every node polled the store, its load would grow with the number of nodes, so one node reads and the others
 * get the result from it. There is no election: the node with the smallest name among those that are present and can
 * reach the store considers itself the reader. Two nodes that don't receive each other's reports both read, which
 * costs a few calls and does no harm. A reader that crashes or loses the store is replaced as soon as its silence or
 * its report shows it.
 */
public final class PeerTable {
    /** A peer is absent after this many report intervals without a report. */
    private static final double ABSENT_AFTER_INTERVALS = 2.5;
    /** Shortest silence after which a peer is absent. */
    private static final long MIN_ABSENT_MILLIS = 700;
    /** A peer that is silent for this long is forgotten. */
    private static final long FORGET_AFTER_MILLIS = 30_000;
    /** Past incarnations remembered per peer, so that a delayed report isn't taken for one of a new incarnation. */
    private static final int MAX_PAST_INCARNATIONS = 8;

    private final String self;
    private final TreeMap<String, Peer> peers = new TreeMap<>();

    private PeerTable(String self) {
        this.self = self;
    }

    /**
     * Creates a table without peers.
     *
     * @param self name of this node
     */
    public static PeerTable of(String self) {
        return new PeerTable(self);
    }

    /**
     * A peer's latest report and when it was received.
     *
     * @param pastIncarnations incarnations that the peer had before
     */
    public record Peer(PeerReport report, long receivedAtMillis, Deque<Long> pastIncarnations) {}

    /**
     * Records a peer's report.
     *
     * @return false if the report is this node's own, or older than one received before
     */
    public boolean accept(PeerReport report, long nowMillis) {
        if (report.name().equals(self)) {
            return false;
        }
        Peer previous = peers.get(report.name());
        if (previous == null) {
            peers.put(report.name(), new Peer(report, nowMillis, new ArrayDeque<>()));
            return true;
        }
        if (report.incarnation() != previous.report().incarnation()) {
            if (previous.pastIncarnations().contains(report.incarnation())) {
                return false;
            }
            previous.pastIncarnations().addLast(previous.report().incarnation());
            if (previous.pastIncarnations().size() > MAX_PAST_INCARNATIONS) {
                previous.pastIncarnations().removeFirst();
            }
        } else if (report.sequence() <= previous.report().sequence()) {
            return false;
        }
        peers.put(report.name(), new Peer(report, nowMillis, previous.pastIncarnations()));
        return true;
    }

    /** Returns the load that a peer reported last, by instance id; empty if the peer isn't present. */
    public Map<String, RankedLoad> loads(String name, long nowMillis) {
        Peer peer = peers.get(name);
        return peer != null && present(peer, nowMillis) ? peer.report().loads() : Map.of();
    }

    /** Returns whether all peers that aren't forgotten are present and have a server list with a digest. */
    public boolean allHaveServerList(long digest, long nowMillis) {
        return peers.values().stream()
                .allMatch(peer -> present(peer, nowMillis) && peer.report().serverListDigest() == digest);
    }

    /** Returns the address of a peer, as IP:PORT, if it isn't forgotten. */
    public Optional<String> address(String name) {
        return Optional.ofNullable(peers.get(name)).map(peer -> peer.report().address());
    }

    /** Forgets peers that have been silent for too long. */
    public void forgetSilent(long nowMillis) {
        peers.values().removeIf(peer -> nowMillis - peer.receivedAtMillis() > FORGET_AFTER_MILLIS);
    }

    /** Returns all peers that aren't forgotten, absent ones included. */
    public Collection<Peer> peers() {
        return peers.values();
    }

    /** Returns whether a peer's latest report is recent enough for it to be present. */
    public static boolean present(Peer peer, long nowMillis) {
        return nowMillis - peer.receivedAtMillis()
                <= Math.max(
                        MIN_ABSENT_MILLIS,
                        ABSENT_AFTER_INTERVALS * peer.report().reportIntervalMillis());
    }

    /** Returns the names of the present peers. */
    public Set<String> present(long nowMillis) {
        return peers.entrySet().stream()
                .filter(peer -> present(peer.getValue(), nowMillis))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether any peer is present. */
    public boolean anyPresent(long nowMillis) {
        return peers.values().stream().anyMatch(peer -> present(peer, nowMillis));
    }

    /**
     * Returns whether this node reads the platform's store for all nodes.
     *
     * @param storeReachable whether this node can reach the store
     */
    public boolean isStoreReader(boolean storeReachable, long nowMillis) {
        return storeReaderRank(storeReachable, nowMillis) == 0;
    }

    /**
     * Returns how many present nodes come before this one as readers of the platform's store.
     *
     * @param storeReachable whether this node can reach the store
     */
    public int storeReaderRank(boolean storeReachable, long nowMillis) {
        int rank = 0;
        for (Peer peer : peers.values()) {
            if (present(peer, nowMillis)
                    && peer.report().storeReachable()
                    && (!storeReachable || peer.report().name().compareTo(self) < 0)) {
                rank++;
            }
        }
        return rank;
    }

    /** Returns the load that the present peers report, summed by instance id. */
    public Map<String, RankedLoad> loads(long nowMillis) {
        Map<String, RankedLoad> totals = new HashMap<>();
        for (Peer peer : peers.values()) {
            if (present(peer, nowMillis)) {
                peer.report()
                        .loads()
                        .forEach((instanceId, load) -> totals.computeIfAbsent(instanceId, id -> RankedLoad.create())
                                .add(load));
            }
        }
        return totals;
    }

    /** Returns the mean prefill rate that the present peers have measured; empty if none has. */
    public OptionalDouble meanPrefillRate(long nowMillis) {
        return peers.values().stream()
                .filter(peer -> present(peer, nowMillis))
                .flatMapToDouble(peer -> peer.report().prefillTokensPerMilli().stream())
                .average();
    }

    /** Returns the mean rate of new connections of callers at the present peers that take any; empty without such. */
    public OptionalDouble meanConnectionsPerSecond(long nowMillis) {
        return peers.values().stream()
                .filter(peer -> present(peer, nowMillis))
                .flatMapToDouble(peer -> peer.report().connectionsPerSecond().stream())
                .average();
    }

    /** Returns the demand of the present peers' callers, summed by service. */
    public Map<String, LaneDemand> demands(long nowMillis) {
        Map<String, LaneDemand> totals = new HashMap<>();
        for (Peer peer : peers.values()) {
            if (present(peer, nowMillis)) {
                peer.report().demands().forEach((service, demand) -> totals.merge(service, demand, LaneDemand::plus));
            }
        }
        return totals;
    }
}
