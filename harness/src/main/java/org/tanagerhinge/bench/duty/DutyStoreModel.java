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

/** The platform's store, as far as duties use it: one revision, leases, writes under conditions; and its faults. */
final class DutyStoreModel {
    private final DutyRun run;
    private final Map<Long, Long> leases = new HashMap<>();
    private final TreeMap<Long, UsageCounts> fixed = new TreeMap<>();
    private Optional<DutyRecord.Ownership> holding = Optional.empty();
    private long holdingLease;
    private List<String> holders = List.of();
    private List<UsageReport> tally = List.of();
    private long revision = 400;
    private long nextLease = 7_000;

    boolean down;
    boolean leasesPause;
    double lostShare;
    double lateShare;
    long slowMillis;
    final Set<String> turnedAway = new HashSet<>();

    DutyStoreModel(DutyRun run) {
        this.run = run;
    }

    /** Leases go on or lapse while the store is down; this moves their ends by the time for which they paused. */
    void wasDown(long millis) {
        if (leasesPause) {
            leases.replaceAll((lease, end) -> end + millis);
        }
    }

    private void expire() {
        if (down && leasesPause) {
            return;
        }
        leases.values().removeIf(end -> end < run.now());
        if (holding.isPresent() && !leases.containsKey(holdingLease)) {
            holding = Optional.empty();
            revision++;
        }
    }

    long lease(long millis) {
        leases.put(++nextLease, run.now() + millis);
        return nextLease;
    }

    boolean renew(long lease, long millis) {
        expire();
        return leases.computeIfPresent(lease, (number, end) -> run.now() + millis) != null;
    }

    void endLease(long lease) {
        leases.remove(lease);
        expire();
    }

    boolean claim(String claim, long lease, List<String> claimants) {
        expire();
        if (holding.isPresent() || !leases.containsKey(lease)) {
            return false;
        }
        holding = Optional.of(new DutyRecord.Ownership(claim, ++revision));
        holdingLease = lease;
        holders = claimants;
        return true;
    }

    DutyRecord read() {
        expire();
        return new DutyRecord(holding, holders, new ArrayList<>(fixed.values()), tally);
    }

    boolean stands(long token) {
        expire();
        return holding.isPresent() && holding.get().fencingToken() == token;
    }

    /** Returns the counts that were fixed before, if any were. */
    Optional<UsageCounts> fix(UsageCounts counts, long forget) {
        UsageCounts before = fixed.get(counts.window());
        if (before != null) {
            return Optional.of(before);
        }
        fixed.put(counts.window(), counts);
        fixed.remove(forget);
        revision++;
        return Optional.empty();
    }

    void save(List<UsageReport> newer) {
        tally = newer;
        revision++;
    }

    void release() {
        holding = Optional.empty();
        revision++;
    }
}
