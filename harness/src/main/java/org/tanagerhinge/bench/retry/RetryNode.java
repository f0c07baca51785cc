package org.tanagerhinge.bench.retry;

import java.util.Set;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.relay.FleetSize;

/** The part of a gateway that spends the shared retry budget, wired as the gateway wires it. */
final class RetryNode {
    private final String address;
    private final RetryBudget budget;
    private final FleetSize fleetSize;

    private RetryNode(String address, double slack, long nowMillis) {
        this.address = address;
        this.fleetSize = FleetSize.of(address, FleetSimulation.LEASE_MILLIS, nowMillis);
        this.budget = RetryBudget.of(
                FleetSimulation.RATIO, slack, FleetSimulation.WINDOW_MILLIS, nowMillis, fleetSize::count);
    }

    /** Returns the node of a process that starts now. */
    static RetryNode started(String address, double slack, long nowMillis) {
        return new RetryNode(address, slack, nowMillis);
    }

    /** What a node tells its peers. */
    record Report(String address) {}

    Report report() {
        return new Report(address);
    }

    void heard(Report report, long nowMillis) {
        fleetSize.heard(report.address(), nowMillis);
    }

    void leaseRenewed(long sentAtMillis) {
        fleetSize.leaseRenewed(sentAtMillis);
    }

    /** Returns whether the node reads the registrations of all nodes with the next renewal of its lease. */
    boolean listingDue(long nowMillis) {
        return fleetSize.listingDue(nowMillis);
    }

    void listed(Set<String> addresses, long nowMillis) {
        fleetSize.listed(addresses, nowMillis);
    }

    void recordRequest(long nowMillis) {
        budget.recordRequest(FleetSimulation.SERVICE, nowMillis);
    }

    boolean tryTakeRetry(long nowMillis) {
        return budget.tryTake(FleetSimulation.SERVICE, nowMillis);
    }
}
