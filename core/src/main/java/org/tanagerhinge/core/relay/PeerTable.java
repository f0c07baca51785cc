package org.tanagerhinge.core.relay;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The other nodes, as far as they have been heard, and which node reads the platform's store for all.
 *
 * <p>Answers the cost of many nodes that all poll the store: one reads, and tells the others. There is no election: the
 * node with the least name among those that are heard and that the store answers takes itself for the reader. Two nodes
 * that don't hear each other both read, which costs a few calls and harms nothing; a reader that dies or that the store
 * turns away is replaced as soon as its silence or its report shows it.
 */
public final class PeerTable {
    /** A peer that wasn't heard for this many of its intervals counts as away: reports were lost or it is gone. */
    private static final double ABSENT_AFTER_INTERVALS = 2.5;
    /** A peer counts as away after this long at the least, in milliseconds. */
    private static final long MIN_ABSENT_MILLIS = 700;
    /** A peer that wasn't heard for this long is forgotten, and no longer counts for the shared budget. */
    private static final long FORGET_AFTER_MILLIS = 30_000;
    /** Ended incarnations of a peer that are remembered: its late reports must not be taken for those of a new start. */
    private static final int MAX_PAST_INCARNATIONS = 8;

    private final String self;
    private final TreeMap<String, Peer> peers = new TreeMap<>();

    private PeerTable(String self) {
        this.self = self;
    }

    /** Returns a table of a node that has heard of nobody yet. */
    public static PeerTable of(String self) {
        return new PeerTable(self);
    }

    /**
     * A peer's newest report and when it was heard.
     *
     * @param ended incarnations that it had before
     */
    public record Peer(PeerReport report, long receivedAtMillis, Deque<Long> pastIncarnations) {}

    /**
     * Takes a report.
     *
     * @return false if it is this node's own, or older than one that was heard before
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

    /** Returns what a peer told last that it has in progress, by the life of the server; nothing if it isn't present. */
    public Map<String, PeerReport.InstanceLoad> loads(String name, long nowMillis) {
        Peer peer = peers.get(name);
        return peer != null && present(peer, nowMillis) ? peer.report().loads() : Map.of();
    }

    /** Forgets peers that were silent for long. */
    public void forgetSilent(long nowMillis) {
        peers.values().removeIf(peer -> nowMillis - peer.receivedAtMillis() > FORGET_AFTER_MILLIS);
    }

    /** Returns all peers that aren't forgotten. */
    public Collection<Peer> peers() {
        return peers.values();
    }

    /** Returns whether a peer was heard of late. */
    public static boolean present(Peer peer, long nowMillis) {
        return nowMillis - peer.receivedAtMillis()
                <= Math.max(
                        MIN_ABSENT_MILLIS,
                        ABSENT_AFTER_INTERVALS * peer.report().reportIntervalMillis());
    }

    /** Returns the names of the peers that were heard of late. */
    public Set<String> present(long nowMillis) {
        return peers.entrySet().stream()
                .filter(peer -> present(peer.getValue(), nowMillis))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether any peer was heard of late. */
    public boolean anyPresent(long nowMillis) {
        return peers.values().stream().anyMatch(peer -> present(peer, nowMillis));
    }

    /** Returns how many nodes there are with this one, those that are silent for now among them. */
    public int nodeCount() {
        return peers.size() + 1;
    }

    /**
     * Returns whether this node reads the platform's store for all.
     *
     * @param storeAnswers whether the store answers this node
     */
    public boolean isStoreReader(boolean storeReachable, long nowMillis) {
        for (Peer peer : peers.values()) {
            if (present(peer, nowMillis)
                    && peer.report().storeReachable()
                    && (!storeReachable || peer.report().name().compareTo(self) < 0)) {
                return false;
            }
        }
        return true;
    }

    /** Returns what the present peers have in progress, added up by backend server. */
    public Map<String, PeerReport.InstanceLoad> loads(long nowMillis) {
        Map<String, PeerReport.InstanceLoad> totals = new HashMap<>();
        for (Peer peer : peers.values()) {
            if (present(peer, nowMillis)) {
                peer.report().loads().forEach((instanceId, load) -> totals.merge(instanceId, load, PeerTable::plus));
            }
        }
        return totals;
    }

    private static PeerReport.InstanceLoad plus(PeerReport.InstanceLoad a, PeerReport.InstanceLoad b) {
        return new PeerReport.InstanceLoad(
                a.inFlight() + b.inFlight(), a.pendingPrefillTokens() + b.pendingPrefillTokens());
    }

    /** Returns what the present peers' callers ask, added up by service. */
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
