package org.tanagerhinge.bench.retry;

import java.util.Set;
import org.tanagerhinge.core.attempt.RetryBudget;
import org.tanagerhinge.core.relay.FleetSize;

/** The part of a gateway that spends the shared retry budget, wired as the gateway wires it. */
final class RetryNode {
    private final RetryBudget budget;
    private final FleetSize fleetSize;

    private RetryNode(String address, double slack, long nowMillis) {
        this.fleetSize = FleetSize.of(address, FleetSimulation.LEASE_MILLIS, nowMillis);
        this.budget = RetryBudget.of(
                FleetSimulation.RATIO, slack, FleetSimulation.WINDOW_MILLIS, nowMillis, fleetSize::count);
    }

    /** Returns the node of a process that starts now. */
    static RetryNode started(String address, double slack, long nowMillis) {
        return new RetryNode(address, slack, nowMillis);
    }

    /** Receives a report of a peer. */
    void heard(String peerAddress, long nowMillis) {
        fleetSize.heard(peerAddress, nowMillis);
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
