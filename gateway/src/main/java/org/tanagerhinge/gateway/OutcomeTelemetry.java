package org.tanagerhinge.gateway;

import java.util.Map;
import java.util.stream.Collectors;
import org.tanagerhinge.core.relay.RankOutcomes;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/** Counts the outcomes of requests by rank, and logs ranks that lose requests while less urgent ones begin. */
final class OutcomeTelemetry {
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final Gateway gateway;
    private final RankOutcomes outcomes = RankOutcomes.create();
    private long loggedAtMillis;

    OutcomeTelemetry(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Counts a request that has found its service; {@code profile} is its label in metrics. */
    void asked(String service, int rank, String profile) {
        outcomes.recordAsked(service, rank, gateway.nowMillis());
        gateway.metrics().countOutcome(profile, "asked");
    }

    /** Counts a request with a first output. */
    void begun(String service, int rank, String profile) {
        outcomes.recordBegun(service, rank, gateway.nowMillis());
        gateway.metrics().countOutcome(profile, "begun");
    }

    /** Counts a request with a whole answer. */
    void served(String service, int rank, String profile) {
        outcomes.recordServed(service, rank, gateway.nowMillis());
        gateway.metrics().countOutcome(profile, "served");
    }

    /** Counts a request that ended without a whole answer. */
    void lost(String service, int rank, String profile, String cause) {
        outcomes.recordLost(service, rank, cause, gateway.nowMillis());
        gateway.metrics().countOutcome(profile, cause);
    }

    /** Logs the ranks that lose requests now. */
    void sweep() {
        long nowMillis = gateway.nowMillis();
        if (nowMillis - loggedAtMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        loggedAtMillis = nowMillis;
        for (RankOutcomes.Shortfall found : outcomes.shortfalls(nowMillis)) {
            LogLine.failure(LogEvent.RANK_SHORT)
                    .with(LogField.SERVICE, found.service())
                    .with(LogField.RANK, found.rank())
                    .with(LogField.ASKED, found.asked())
                    .with(LogField.BEGUN, found.begun())
                    .with(LogField.SERVED, found.served())
                    .with(LogField.LOST, describe(found.lostByCause()))
                    .with(LogField.LESS_URGENT_BEGUN, found.lessUrgentBegun())
                    .write();
        }
    }

    private static String describe(Map<String, Integer> lostByCause) {
        return lostByCause.entrySet().stream()
                .map(entry -> entry.getKey() + ":" + entry.getValue())
                .collect(Collectors.joining(","));
    }
}
