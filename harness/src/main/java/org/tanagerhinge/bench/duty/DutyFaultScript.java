package org.tanagerhinge.bench.duty;

/** Schedules faults at given times of a simulated run, for tests of single faults; all times in milliseconds. */
public final class DutyFaultScript {
    private final DutySimulation simulation;

    DutyFaultScript(DutySimulation simulation) {
        this.simulation = simulation;
    }

    /** Applies a fault to the node that holds the duty at the given time, if there is one. */
    private void onHolder(long atMillis, java.util.function.Consumer<DutyNode> fault) {
        simulation.schedule(
                atMillis,
                () -> simulation.nodes.stream()
                        .filter(DutyNode::isHolder)
                        .findFirst()
                        .ifPresent(fault));
    }

    /** Kills the holder and restarts it after the duration. */
    public DutyFaultScript killHolder(long atMillis, long durationMillis) {
        onHolder(atMillis, node -> {
            node.kill();
            simulation.schedule(durationMillis, node::start);
        });
        return this;
    }

    /** Suspends the host of the holder for the duration. */
    public DutyFaultScript suspendHolder(long atMillis, long durationMillis) {
        onHolder(atMillis, node -> {
            node.suspend();
            simulation.schedule(durationMillis, node::resume);
        });
        return this;
    }

    /** Makes the store reject all calls of the holder for the duration. */
    public DutyFaultScript isolateHolderFromStore(long atMillis, long durationMillis) {
        onHolder(atMillis, node -> {
            simulation.store.rejectedNodes.add(node.name);
            simulation.schedule(durationMillis, () -> simulation.store.rejectedNodes.remove(node.name));
        });
        return this;
    }

    /** Makes the platform's usage endpoint unreachable from the holder for the duration. */
    public DutyFaultScript isolateHolderFromPlatform(long atMillis, long durationMillis) {
        onHolder(atMillis, node -> {
            simulation.usageEndpoint.isolatedNodes.add(node.name);
            simulation.schedule(durationMillis, () -> simulation.usageEndpoint.isolatedNodes.remove(node.name));
        });
        return this;
    }

    /** Kills all nodes and restarts them after the duration. */
    public DutyFaultScript killAll(long atMillis, long durationMillis) {
        simulation.schedule(
                atMillis,
                () -> simulation.nodes.forEach(node -> {
                    node.kill();
                    simulation.schedule(durationMillis, node::start);
                }));
        return this;
    }

    /** Stops all nodes gracefully in turn and restarts each. */
    public DutyFaultScript restartInTurn(long atMillis, long gapMillis) {
        long nextAtMillis = atMillis;
        for (DutyNode node : simulation.nodes) {
            simulation.schedule(nextAtMillis, () -> node.stop(2_700));
            simulation.schedule(nextAtMillis + 3_500, node::start);
            nextAtMillis += gapMillis;
        }
        return this;
    }

    /** Steps the wall clocks of the first nodes for the duration. */
    public DutyFaultScript stepClocks(long atMillis, long durationMillis, int nodeCount, long offsetMillis) {
        simulation.schedule(
                atMillis,
                () -> simulation.nodes.subList(0, nodeCount).forEach(node -> node.clockOffsetMillis = offsetMillis));
        simulation.schedule(
                atMillis + durationMillis,
                () -> simulation.nodes.subList(0, nodeCount).forEach(node -> node.clockOffsetMillis = 0));
        return this;
    }

    /** Stops the store for the duration; leases either pause or expire meanwhile. */
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

    /**
     * Restores the store from a copy; it is down before that for a moment.
     *
     * @param leasesPause whether leases of the copy have the time left that they had when it was taken
     */
    public DutyFaultScript storeRestored(long atMillis, long ageMillis, long downMillis, boolean leasesPause) {
        DutyStoreModel.Snapshot[] copy = new DutyStoreModel.Snapshot[1];
        simulation.schedule(atMillis - ageMillis, () -> copy[0] = simulation.store.snapshot());
        simulation.schedule(atMillis - downMillis, () -> simulation.store.down = true);
        simulation.schedule(atMillis, () -> {
            simulation.store.down = false;
            simulation.logEvent("store restored from a copy " + ageMillis + " old");
            simulation.store.restore(copy[0], leasesPause);
        });
        return this;
    }

    /** Makes the store execute a share of its calls late and leave them unanswered. */
    public DutyFaultScript storeLate(long atMillis, long durationMillis, double share) {
        simulation.schedule(atMillis, () -> simulation.store.lateShare = share);
        simulation.schedule(atMillis + durationMillis, () -> simulation.store.lateShare = 0);
        return this;
    }

    /** Makes the platform process a share of the reports seconds late and leave them unanswered. */
    public DutyFaultScript platformLate(long atMillis, long durationMillis, double share) {
        simulation.schedule(atMillis, () -> simulation.usageEndpoint.lateShare = share);
        simulation.schedule(atMillis + durationMillis, () -> simulation.usageEndpoint.lateShare = 0);
        return this;
    }
}
