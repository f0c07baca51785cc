package org.tanagerhinge.bench.duty;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tanagerhinge.core.duty.DutyClient;
import org.tanagerhinge.core.duty.UsageCounts;

/** The address that takes usage reports, with its faults, and the checks of what must hold there. */
final class UsageEndpointModel {
    private final DutySimulation simulation;
    private final TreeMap<Long, UsageCounts> acceptedByWindow = new TreeMap<>();
    private final Map<Long, Long> acceptedAtMillisByWindow = new HashMap<>();
    private final Map<Long, String> nodeByToken = new HashMap<>();
    private final Map<String, Long> firstRejectedMillis = new HashMap<>();
    private final Map<String, Long> lastReportMillisByNode = new HashMap<>();
    private String lastReporter = "";
    private long highestToken;

    boolean down;
    double lateShare;
    double unansweredShare;
    final Set<String> isolatedNodes = new HashSet<>();
    int receivedReports;
    int rejectedReports;

    UsageEndpointModel(DutySimulation simulation) {
        this.simulation = simulation;
    }

    /** A report arrives, or one that was left unanswered is carried out. */
    DutyClient.ReportResult report(String node, long token, UsageCounts counts) {
        receivedReports++;
        String owner = nodeByToken.putIfAbsent(token, node);
        if (owner != null && !owner.equals(node)) {
            simulation.recordFailure("two holders sent token " + token + ": " + owner + " and " + node);
        }
        if (token < highestToken) {
            return rejectStaleToken(node, token);
        }
        highestToken = token;
        recordReporter(node);
        UsageCounts previous = acceptedByWindow.putIfAbsent(counts.window(), counts);
        acceptedAtMillisByWindow.putIfAbsent(counts.window(), simulation.epochMillis());
        if (previous != null && !previous.equals(counts)) {
            simulation.recordFailure("two counts for window " + counts.window() + ": " + previous + " and " + counts);
        }
        return DutyClient.ReportResult.ACCEPTED;
    }

    private DutyClient.ReportResult rejectStaleToken(String node, long token) {
        if (!simulation.fenced) {
            simulation.recordFailure("token " + token + " of " + node + " after " + highestToken);
        }
        rejectedReports++;
        Long firstMillis = firstRejectedMillis.putIfAbsent(node + "/" + token, simulation.nowMillis());
        if (firstMillis != null && simulation.nowMillis() - firstMillis > DutySimulation.LEASE_MILLIS + 12_000) {
            simulation.recordFailure(node + " goes on with token " + token + " after it was refused");
        }
        return DutyClient.ReportResult.FENCED;
    }

    /** A, B, A within the time of a lease must not be. */
    private void recordReporter(String node) {
        if (!node.equals(lastReporter)) {
            Long previousMillis = lastReportMillisByNode.get(node);
            if (previousMillis != null && simulation.nowMillis() - previousMillis < DutySimulation.LEASE_MILLIS) {
                simulation.recordFailure(node + ", " + lastReporter + ", " + node + " acted within "
                        + (simulation.nowMillis() - previousMillis) + " ms");
            }
        }
        lastReporter = node;
        lastReportMillisByNode.put(node, simulation.nowMillis());
    }

    /** Returns the counts that were accepted for a window in time; null if none were. */
    UsageCounts acceptedInTime(long window) {
        Long acceptedMillis = acceptedAtMillisByWindow.get(window);
        long deadlineMillis = (window + 1) * DutySimulation.WINDOW_MILLIS + DutySimulation.REPORT_GRACE_MILLIS;
        return acceptedMillis != null && acceptedMillis <= deadlineMillis ? acceptedByWindow.get(window) : null;
    }
}
