package org.tanagerhinge.bench.duty;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tanagerhinge.core.duty.DutyClient;
import org.tanagerhinge.core.duty.UsageCounts;

/** Simulates the platform's usage endpoint with injected faults, and checks the reports that it receives. */
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

    /** Processes a report, which may have been delayed, and checks its fencing token and counts. */
    DutyClient.ReportResult report(String node, long token, UsageCounts counts) {
        receivedReports++;
        String owner = nodeByToken.putIfAbsent(token, node);
        if (owner != null && !owner.equals(node)) {
            simulation.recordFailure("two nodes sent fencing token " + token + ": " + owner + " and " + node);
        }
        if (token < highestToken) {
            return rejectStaleToken(node, token);
        }
        highestToken = token;
        recordReporter(node);
        UsageCounts previous = acceptedByWindow.putIfAbsent(counts.window(), counts);
        acceptedAtMillisByWindow.putIfAbsent(counts.window(), simulation.epochMillis());
        if (previous != null && !previous.equals(counts)) {
            simulation.recordFailure(
                    "different counts for window " + counts.window() + ": " + previous + " and " + counts);
        }
        return DutyClient.ReportResult.ACCEPTED;
    }

    private DutyClient.ReportResult rejectStaleToken(String node, long token) {
        if (!simulation.fencingEnforced) {
            simulation.recordFailure(
                    "fencing token " + token + " of " + node + " arrived after newer token " + highestToken);
        }
        rejectedReports++;
        Long firstMillis = firstRejectedMillis.putIfAbsent(node + "/" + token, simulation.nowMillis());
        if (firstMillis != null && simulation.nowMillis() - firstMillis > DutySimulation.LEASE_MILLIS + 12_000) {
            simulation.recordFailure(node + " still sends token " + token + " after the endpoint rejected it");
        }
        return DutyClient.ReportResult.FENCED;
    }

    /** Checks that the reporting node does not change from A to B and back to A within one lease duration. */
    private void recordReporter(String node) {
        if (!node.equals(lastReporter)) {
            Long previousMillis = lastReportMillisByNode.get(node);
            if (previousMillis != null && simulation.nowMillis() - previousMillis < DutySimulation.LEASE_MILLIS) {
                simulation.recordFailure(node + ", " + lastReporter + ", " + node + " reported in turn within "
                        + (simulation.nowMillis() - previousMillis) + " ms");
            }
        }
        lastReporter = node;
        lastReportMillisByNode.put(node, simulation.nowMillis());
    }

    /** Returns the counts accepted for a window before its deadline; null if there are none. */
    UsageCounts acceptedInTime(long window) {
        Long acceptedMillis = acceptedAtMillisByWindow.get(window);
        long deadlineMillis = (window + 1) * DutySimulation.WINDOW_MILLIS + DutySimulation.REPORT_GRACE_MILLIS;
        return acceptedMillis != null && acceptedMillis <= deadlineMillis ? acceptedByWindow.get(window) : null;
    }
}
