package org.tanagerhinge.bench.duty;

/** Faults at set times of a run, for tests of a single one. */
public final class DutyFaultScript {
    private final DutySimulation simulation;

    DutyFaultScript(DutySimulation simulation) {
        this.simulation = simulation;
    }

    /** Runs a fault of the holder at a time. */
    private void onHolder(long atMillis, java.util.function.Consumer<DutyNode> fault) {
        simulation.schedule(
                atMillis,
                () -> simulation.nodes.stream()
                        .filter(DutyNode::isHolder)
                        .findFirst()
                        .ifPresent(fault));
    }

    /** Kills the holder; it starts again after a time. */
    public DutyFaultScript killHolder(long atMillis, long durationMillis) {
        onHolder(atMillis, node -> {
            node.kill();
            simulation.schedule(durationMillis, node::start);
        });
        return this;
    }

    /** Suspends the holder. */
    public DutyFaultScript suspendHolder(long atMillis, long durationMillis) {
        onHolder(atMillis, node -> {
            node.suspend();
            simulation.schedule(durationMillis, node::resume);
        });
        return this;
    }

    /** The store turns the holder away. */
    public DutyFaultScript isolateHolderFromStore(long atMillis, long durationMillis) {
        onHolder(atMillis, node -> {
            simulation.store.rejectedNodes.add(node.name);
            simulation.schedule(durationMillis, () -> simulation.store.rejectedNodes.remove(node.name));
        });
        return this;
    }

    /** The platform's address can't be reached from the holder. */
    public DutyFaultScript isolateHolderFromPlatform(long atMillis, long durationMillis) {
        onHolder(atMillis, node -> {
            simulation.usageEndpoint.isolatedNodes.add(node.name);
            simulation.schedule(durationMillis, () -> simulation.usageEndpoint.isolatedNodes.remove(node.name));
        });
        return this;
    }

    /** Kills all nodes. */
    public DutyFaultScript killAll(long atMillis, long durationMillis) {
        simulation.schedule(
                atMillis,
                () -> simulation.nodes.forEach(node -> {
                    node.kill();
                    simulation.schedule(durationMillis, node::start);
                }));
        return this;
    }

    /** Stops all nodes in turn, each to start again. */
    public DutyFaultScript restartInTurn(long atMillis, long gapMillis) {
        long nextAtMillis = atMillis;
        for (DutyNode node : simulation.nodes) {
            simulation.schedule(nextAtMillis, () -> node.stop(2_700));
            simulation.schedule(nextAtMillis + 3_500, node::start);
            nextAtMillis += gapMillis;
        }
        return this;
    }

    /** Steps the clocks of some nodes for a time. */
    public DutyFaultScript stepClocks(long atMillis, long durationMillis, int nodeCount, long offsetMillis) {
        simulation.schedule(
                atMillis,
                () -> simulation.nodes.subList(0, nodeCount).forEach(node -> node.clockOffsetMillis = offsetMillis));
        simulation.schedule(
                atMillis + durationMillis,
                () -> simulation.nodes.subList(0, nodeCount).forEach(node -> node.clockOffsetMillis = 0));
        return this;
    }

    /** The store is down; leases pause or lapse. */
    public DutyFaultScript storeDown(long atMillis, long durationMillis, boolean leasesPause) {
        simulation.schedule(atMillis, () -> {
            simulation.store.down = true;
            simulation.store.leasesPause = leasesPause;
        });
        simulation.schedule(atMillis + durationMillis, () -> {
            simulation.store.down = false;
            simulation.store.recordOutage(durationMillis);
        });
        return this;
    }

    /** A share of the store's calls are carried out late and never answered. */
    public DutyFaultScript storeLate(long atMillis, long durationMillis, double share) {
        simulation.schedule(atMillis, () -> simulation.store.lateShare = share);
        simulation.schedule(atMillis + durationMillis, () -> simulation.store.lateShare = 0);
        return this;
    }

    /** A share of the reports are left unanswered and carried out seconds later. */
    public DutyFaultScript platformLate(long atMillis, long durationMillis, double share) {
        simulation.schedule(atMillis, () -> simulation.usageEndpoint.lateShare = share);
        simulation.schedule(atMillis + durationMillis, () -> simulation.usageEndpoint.lateShare = 0);
        return this;
    }
}
