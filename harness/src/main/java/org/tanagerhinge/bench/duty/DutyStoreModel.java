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
