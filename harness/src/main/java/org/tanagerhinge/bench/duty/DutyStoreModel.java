package org.tanagerhinge.bench.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.tanagerhinge.core.duty.DutyRecord;
import org.tanagerhinge.core.duty.UsageCounts;
import org.tanagerhinge.core.duty.UsageReport;

/** Simulates the store calls that duties use: leases, conditional writes with one revision, and injected faults. */
final class DutyStoreModel {
    private final DutySimulation simulation;
    private final Map<Long, Long> expiryMillisByLease = new HashMap<>();
    private final TreeMap<Long, UsageCounts> committedByWindow = new TreeMap<>();
    private Optional<DutyRecord.Ownership> ownership = Optional.empty();
    private long ownershipLease;
    private List<String> recentHolders = List.of();
    private List<UsageReport> savedReports = List.of();
    private long revision = 400;
    private long lastLease = 7_000;
    private long era = 1;
    private long restoredAtMillis = Long.MIN_VALUE;
    /** Tokens of claims that a restore discarded. */
    private final Set<Long> discardedTokens = new HashSet<>();

    boolean down;
    boolean leasesPause;
    double lostShare;
    double lateShare;
    long slowMillis;
    final Set<String> rejectedNodes = new HashSet<>();

    DutyStoreModel(DutySimulation simulation) {
        this.simulation = simulation;
    }

    /** Extends all leases by the length of an outage if leases pause while the store is down. */
    void recordOutage(long outageMillis) {
        if (leasesPause) {
            expiryMillisByLease.replaceAll((lease, expiryMillis) -> expiryMillis + outageMillis);
        }
    }

    /** Holds a copy of the data, from which {@link #restore} continues. */
    record Snapshot(
            long atMillis,
            Map<Long, Long> expiryMillisByLease,
            TreeMap<Long, UsageCounts> committedByWindow,
            Optional<DutyRecord.Ownership> ownership,
            long ownershipLease,
            List<String> recentHolders,
            List<UsageReport> savedReports,
            long revision,
            long lastLease) {}

    Snapshot snapshot() {
        expire();
        return new Snapshot(
                simulation.nowMillis(),
                new HashMap<>(expiryMillisByLease),
                new TreeMap<>(committedByWindow),
                ownership,
                ownershipLease,
                recentHolders,
                savedReports,
                revision,
                lastLease);
    }

    /**
     * Continues from an earlier copy in the next era: later writes and leases are lost, and their revisions and lease ids
     * are assigned again. Leases of the copy either have the time left that they had then, or go on to expire.
     */
    void restore(Snapshot copy, boolean leasesPaused) {
        expire();
        long pausedMillis = leasesPaused ? simulation.nowMillis() - copy.atMillis() : 0;
        ownership
                .filter(lost -> !copy.ownership().equals(Optional.of(lost)))
                .ifPresent(lost -> discardedTokens.add(lost.fencingToken()));
        expiryMillisByLease.clear();
        copy.expiryMillisByLease()
                .forEach((lease, expiryMillis) -> expiryMillisByLease.put(lease, expiryMillis + pausedMillis));
        committedByWindow.clear();
        committedByWindow.putAll(copy.committedByWindow());
        ownership = copy.ownership();
        ownershipLease = copy.ownershipLease();
        recentHolders = copy.recentHolders();
        savedReports = copy.savedReports();
        revision = copy.revision();
        lastLease = copy.lastLease();
        era++;
        restoredAtMillis = simulation.nowMillis();
    }

    /** Returns the era, which rises with each restore and is part of every response. */
    long era() {
        return era;
    }

    /** Returns whether the claim with a token was discarded by a restore, and its holder may not know of it yet. */
    boolean discardedWithinLease(long token) {
        return discardedTokens.contains(token)
                && simulation.nowMillis() - restoredAtMillis < DutySimulation.LEASE_MILLIS;
    }

    private void expire() {
        if (down && leasesPause) {
            return;
        }
        expiryMillisByLease.values().removeIf(expiryMillis -> expiryMillis < simulation.nowMillis());
        if (ownership.isPresent() && !expiryMillisByLease.containsKey(ownershipLease)) {
            ownership = Optional.empty();
            revision++;
        }
    }

    long grantLease(long ttlMillis) {
        expiryMillisByLease.put(++lastLease, simulation.nowMillis() + ttlMillis);
        return lastLease;
    }

    boolean renewLease(long lease, long ttlMillis) {
        expire();
        return expiryMillisByLease.computeIfPresent(lease, (number, end) -> simulation.nowMillis() + ttlMillis) != null;
    }

    void revokeLease(long lease) {
        expiryMillisByLease.remove(lease);
        expire();
    }

    boolean claim(String claim, long lease, List<String> claimants) {
        expire();
        if (ownership.isPresent() || !expiryMillisByLease.containsKey(lease)) {
            return false;
        }
        ownership = Optional.of(new DutyRecord.Ownership(claim, ++revision));
        ownershipLease = lease;
        recentHolders = claimants;
        return true;
    }

    DutyRecord read() {
        expire();
        return new DutyRecord(ownership, recentHolders, new ArrayList<>(committedByWindow.values()), savedReports);
    }

    boolean holdsDuty(long token) {
        expire();
        return ownership.isPresent() && ownership.get().fencingToken() == token;
    }

    /** Commits the counts of a window; returns the counts already committed for it, if any. */
    Optional<UsageCounts> commit(UsageCounts counts, long prunedWindow) {
        UsageCounts committed = committedByWindow.get(counts.window());
        if (committed != null) {
            return Optional.of(committed);
        }
        committedByWindow.put(counts.window(), counts);
        committedByWindow.remove(prunedWindow);
        revision++;
        return Optional.empty();
    }

    void saveReports(List<UsageReport> reports) {
        savedReports = reports;
        revision++;
    }

    void release() {
        ownership = Optional.empty();
        revision++;
    }
}
