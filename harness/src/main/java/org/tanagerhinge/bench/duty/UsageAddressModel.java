package org.tanagerhinge.bench.duty;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tanagerhinge.core.duty.DutyClient;
import org.tanagerhinge.core.duty.UsageCounts;

/** The address that takes usage reports, with its faults, and the checks of what must hold there. */
final class UsageAddressModel {
    private final DutyRun run;
    private final TreeMap<Long, UsageCounts> accepted = new TreeMap<>();
    private final Map<Long, Long> acceptedAt = new HashMap<>();
    private final Map<Long, String> tokens = new HashMap<>();
    private final Map<String, Long> refusedAt = new HashMap<>();
    private final Map<String, Long> actedAt = new HashMap<>();
    private String lastActor = "";
    private long highest;

    boolean down;
    double lateShare;
    double unansweredShare;
    final Set<String> cutOff = new HashSet<>();
    int calls;
    int refused;

    UsageAddressModel(DutyRun run) {
        this.run = run;
    }

    /** A report arrives, or one that was left unanswered is carried out. */
    DutyClient.ReportResult report(String node, long token, UsageCounts counts) {
        calls++;
        String owner = tokens.putIfAbsent(token, node);
        if (owner != null && !owner.equals(node)) {
            run.fail("two holders sent token " + token + ": " + owner + " and " + node);
        }
        if (token < highest) {
            return olderToken(node, token);
        }
        highest = token;
        noteActor(node);
        UsageCounts before = accepted.putIfAbsent(counts.window(), counts);
        acceptedAt.putIfAbsent(counts.window(), run.trueMillis());
        if (before != null && !before.equals(counts)) {
            run.fail("two counts for window " + counts.window() + ": " + before + " and " + counts);
        }
        return DutyClient.ReportResult.ACCEPTED;
    }

    private DutyClient.ReportResult olderToken(String node, long token) {
        if (!run.fenced) {
            run.fail("token " + token + " of " + node + " after " + highest);
        }
        refused++;
        Long first = refusedAt.putIfAbsent(node + "/" + token, run.now());
        if (first != null && run.now() - first > DutyRun.LEASE_MILLIS + 12_000) {
            run.fail(node + " goes on with token " + token + " after it was refused");
        }
        return DutyClient.ReportResult.FENCED;
    }

    /** A, B, A within the time of a lease must not be. */
    private void noteActor(String node) {
        if (!node.equals(lastActor)) {
            Long own = actedAt.get(node);
            if (own != null && run.now() - own < DutyRun.LEASE_MILLIS) {
                run.fail(node + ", " + lastActor + ", " + node + " acted within " + (run.now() - own) + " ms");
            }
        }
        lastActor = node;
        actedAt.put(node, run.now());
    }

    /** Returns the counts that were accepted for a window in time; null if none were. */
    UsageCounts inTime(long window) {
        Long at = acceptedAt.get(window);
        long bound = (window + 1) * DutyRun.WINDOW_MILLIS + DutyRun.LATE_MILLIS;
        return at != null && at <= bound ? accepted.get(window) : null;
    }
}
