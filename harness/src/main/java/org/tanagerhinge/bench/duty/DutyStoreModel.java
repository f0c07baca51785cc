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
import org.tanagerhinge.core.duty.UsageTally;
import org.tanagerhinge.core.store.StorePosition;

/** Simulates the store calls that duties use: leases, conditional writes with one revision, and injected faults. */
final class DutyStoreModel {
    private final DutySimulation simulation;
    private final Map<Long, Long> expiryMillisByLease = new HashMap<>();
    private final TreeMap<Long, UsageCounts> committedByWindow = new TreeMap<>();
    private Optional<Claim> claim = Optional.empty();
    private List<String> recentHolders = List.of();
    private UsageTally tally = UsageTally.EMPTY;
    private long revision = 400;
    private long lastLease = 7_000;
    private long era = 1;
    private long restoredAtMillis = Long.MIN_VALUE;
    /** Tokens of the claims that were in the store when it was restored. */
    private final Set<Long> tokensBeforeRestore = new HashSet<>();

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

    /**
     * The holder's key.
     *
     * @param token fencing token of the holder that wrote it
     */
    private record Claim(String text, long revision, long lease, long token) {}

    /** Holds a copy of the data, from which {@link #restore} continues. */
    record Snapshot(
            long atMillis,
            Map<Long, Long> expiryMillisByLease,
            TreeMap<Long, UsageCounts> committedByWindow,
            Optional<Claim> claim,
            List<String> recentHolders,
            UsageTally tally,
            long revision,
            long lastLease) {}

    Snapshot snapshot() {
        expire();
        return new Snapshot(
                simulation.nowMillis(),
                new HashMap<>(expiryMillisByLease),
                new TreeMap<>(committedByWindow),
                claim,
                recentHolders,
                tally,
                revision,
                lastLease);
    }

    /**
     * Continues from an earlier copy in the next era: later writes and leases are lost, and their revisions and lease
     * ids are assigned again. Leases of the copy either have the time left that they had then, or go on to expire.
     */
    void restore(Snapshot copy, boolean leasesPaused) {
        expire();
        long pausedMillis = leasesPaused ? simulation.nowMillis() - copy.atMillis() : 0;
        claim.ifPresent(held -> tokensBeforeRestore.add(held.token()));
        expiryMillisByLease.clear();
        copy.expiryMillisByLease()
                .forEach((lease, expiryMillis) -> expiryMillisByLease.put(lease, expiryMillis + pausedMillis));
        committedByWindow.clear();
        committedByWindow.putAll(copy.committedByWindow());
        claim = copy.claim();
        recentHolders = copy.recentHolders();
        tally = copy.tally();
        revision = copy.revision();
        lastLease = copy.lastLease();
        era++;
        restoredAtMillis = simulation.nowMillis();
    }

    /** Returns the era, which rises with each restore and is part of every response. */
    long era() {
        return era;
    }

    /**
     * Returns whether a restore within the last lease may have discarded the claim with a token, or renewals of its
     * lease, which its holder may not know yet.
     */
    boolean restoredWithinLease(long token) {
        return tokensBeforeRestore.contains(token)
                && simulation.nowMillis() - restoredAtMillis < DutySimulation.LEASE_MILLIS;
    }

    private void expire() {
        if (down && leasesPause) {
            return;
        }
        expiryMillisByLease.values().removeIf(expiryMillis -> expiryMillis < simulation.nowMillis());
        if (claim.isPresent() && !expiryMillisByLease.containsKey(claim.get().lease())) {
            claim = Optional.empty();
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

    boolean claim(String text, long lease, List<String> claimants) {
        expire();
        if (claim.isPresent() || !expiryMillisByLease.containsKey(lease)) {
            return false;
        }
        revision++;
        claim = Optional.of(
                new Claim(text, revision, lease, StorePosition.of(era, revision).toFencingToken()));
        recentHolders = claimants;
        return true;
    }

    DutyRecord read() {
        expire();
        return new DutyRecord(
                claim.map(held -> new DutyRecord.Ownership(
                        held.text(), StorePosition.of(era, held.revision()).toFencingToken())),
                recentHolders,
                new ArrayList<>(committedByWindow.values()),
                tally);
    }

    /** Returns whether the claim in the store is the one with a token. */
    boolean holdsDuty(long token) {
        expire();
        return claim.isPresent() && claim.get().token() == token;
    }

    /** Returns whether a write on condition of the holder's key is executed: the store compares revisions only. */
    boolean conditionHolds(long token) {
        expire();
        return claim.isPresent()
                && claim.get().revision() == StorePosition.ofFencingToken(token).revision();
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

    void saveTally(UsageTally saved) {
        tally = saved;
        revision++;
    }

    void release() {
        claim = Optional.empty();
        revision++;
    }
}
