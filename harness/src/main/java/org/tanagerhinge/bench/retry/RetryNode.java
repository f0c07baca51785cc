package org.tanagerhinge.bench.retry;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.relay.PeerReport;
import org.tanagerhinge.core.relay.PeerTable;

/** The part of a gateway that spends the shared retry budget, wired as the gateway wires it. */
final class RetryNode {
    private final String address;
    private final RetryBudget budget;
    private final PeerTable peers;

    private RetryNode(String address, double slack) {
        this.address = address;
        this.budget = RetryBudget.of(FleetSimulation.RATIO, slack, FleetSimulation.WINDOW_MILLIS);
        this.peers = PeerTable.of(address);
    }

    /** Returns the node of a process that starts now. */
    static RetryNode started(String address, double slack, long nowMillis) {
        return new RetryNode(address, slack);
    }

    /** What a node tells its peers. */
    record Report(String address, PeerReport state) {}

    Report report(long incarnation, long sequence, long nowMillis) {
        return new Report(
                address,
                new PeerReport(
                        address,
                        incarnation,
                        sequence,
                        address,
                        true,
                        0,
                        0,
                        0,
                        0,
                        0,
                        FleetSimulation.REPORT_MILLIS,
                        Map.of(),
                        Map.of(),
                        OptionalDouble.empty(),
                        Map.of()));
    }

    void heard(Report report, long nowMillis) {
        if (peers.accept(report.state(), nowMillis)) {
            budget.nodeCount(peers.nodeCount());
        }
    }

    /** Does what a gateway does with each of its own reports. */
    void tick(long nowMillis) {
        peers.forgetSilent(nowMillis);
    }

    void leaseRenewed(long sentAtMillis) {}

    /** Returns whether the node reads the registrations of all nodes with the next renewal of its lease. */
    boolean listingDue(long nowMillis) {
        return !peers.anyPresent(nowMillis);
    }

    void listed(Set<String> addresses, long nowMillis) {}

    void recordRequest(long nowMillis) {
        budget.recordRequest(FleetSimulation.SERVICE, nowMillis);
    }

    boolean tryTakeRetry(long nowMillis) {
        return budget.tryTake(FleetSimulation.SERVICE, nowMillis);
    }
}
