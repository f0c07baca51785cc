package org.tanagerhinge.gateway;

import org.tanagerhinge.core.duty.DutyClient;
import org.tanagerhinge.core.duty.DutyListener;
import org.tanagerhinge.core.duty.UsageCounts;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/** Records duty events as log lines and counters, and announces commits to the peers. */
final class DutyTelemetry implements DutyListener {
    private final Gateway gateway;
    private final Runnable announce;
    private double coverage = Double.NaN;

    /** Creates a listener that runs {@code announce} after each commit, before its counts are reported. */
    DutyTelemetry(Gateway gateway, Runnable announce) {
        this.gateway = gateway;
        this.announce = announce;
    }

    /**
     * Returns the share of known nodes whose counts the latest window contains; NaN if this node committed no window.
     */
    double coverage() {
        return coverage;
    }

    @Override
    public void dutyAcquired(long fencingToken) {
        gateway.count("duty_held");
        LogLine.of(LogEvent.DUTY_HELD).with(LogField.TOKEN, fencingToken).write();
    }

    @Override
    public void dutyLost(long fencingToken, String reason) {
        gateway.count("duty_lost");
        LogLine.failure(LogEvent.DUTY_LOST)
                .with(LogField.TOKEN, fencingToken)
                .with(LogField.WHY, reason)
                .write();
    }

    @Override
    public void usageCommitted(long fencingToken, UsageCounts counts, int completeNodes, int knownNodes) {
        coverage = (double) completeNodes / knownNodes;
        gateway.count(completeNodes < knownNodes ? "usage_fixed_without_all" : "usage_fixed");
        LogLine.of(LogEvent.USAGE_FIXED, completeNodes < knownNodes)
                .with(LogField.WINDOW, counts.window())
                .with(LogField.COUNT, counts.total())
                .with(LogField.TOKEN, fencingToken)
                .with(LogField.HEARD, completeNodes)
                .with(LogField.KNOWN, knownNodes)
                .write();
        announce.run();
    }

    @Override
    public void usageReported(long fencingToken, UsageCounts counts, String outcome, long remainingLeaseMillis) {
        boolean accepted = outcome.equals(DutyClient.ReportResult.ACCEPTED.name());
        gateway.count(accepted ? "usage_reported" : "usage_report_failed");
        LogLine.of(LogEvent.USAGE_REPORTED, !accepted)
                .with(LogField.WINDOW, counts.window())
                .with(LogField.COUNT, counts.total())
                .with(LogField.TOKEN, fencingToken)
                .with(LogField.LEASE_LEFT_MS, remainingLeaseMillis)
                .with(LogField.END, outcome)
                .write();
    }

    @Override
    public void windowSkipped(long window, String reason) {
        recordUnreported("usage_skipped", LogEvent.USAGE_SKIPPED, window, reason);
    }

    @Override
    public void windowMissed(long window, String reason) {
        recordUnreported("usage_missed", LogEvent.USAGE_MISSED, window, reason);
    }

    @Override
    public void statementIgnored(String statement) {
        gateway.count("entry_unreadable");
        LogLine.failure(LogEvent.ENTRY_UNREADABLE).with(LogField.WHY, statement).write();
    }

    private void recordUnreported(String counter, LogEvent event, long window, String reason) {
        gateway.count(counter);
        LogLine.failure(event)
                .with(LogField.WINDOW, window)
                .with(LogField.WHY, reason)
                .write();
    }
}
