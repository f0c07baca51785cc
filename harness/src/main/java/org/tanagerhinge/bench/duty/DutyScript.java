package org.tanagerhinge.bench.duty;

/** Faults at set times of a run, for tests of a single one. */
public final class DutyScript {
    private final DutyRun run;

    DutyScript(DutyRun run) {
        this.run = run;
    }

    /** Runs a fault of the holder at a time. */
    private void onHolder(long atMillis, java.util.function.Consumer<DutyNode> fault) {
        run.after(
                atMillis,
                () -> run.nodes.stream().filter(DutyNode::holds).findFirst().ifPresent(fault));
    }

    /** Kills the holder; it starts again after a time. */
    public DutyScript killHolder(long atMillis, long forMillis) {
        onHolder(atMillis, node -> {
            node.kill();
            run.after(forMillis, node::start);
        });
        return this;
    }

    /** Suspends the holder. */
    public DutyScript freezeHolder(long atMillis, long forMillis) {
        onHolder(atMillis, node -> {
            node.freeze();
            run.after(forMillis, node::thaw);
        });
        return this;
    }

    /** The store turns the holder away. */
    public DutyScript cutHolderFromStore(long atMillis, long forMillis) {
        onHolder(atMillis, node -> {
            run.store.turnedAway.add(node.name);
            run.after(forMillis, () -> run.store.turnedAway.remove(node.name));
        });
        return this;
    }

    /** The platform's address can't be reached from the holder. */
    public DutyScript cutHolderFromPlatform(long atMillis, long forMillis) {
        onHolder(atMillis, node -> {
            run.address.cutOff.add(node.name);
            run.after(forMillis, () -> run.address.cutOff.remove(node.name));
        });
        return this;
    }

    /** Kills all nodes. */
    public DutyScript killAll(long atMillis, long forMillis) {
        run.after(
                atMillis,
                () -> run.nodes.forEach(node -> {
                    node.kill();
                    run.after(forMillis, node::start);
                }));
        return this;
    }

    /** Stops all nodes in turn, each to start again. */
    public DutyScript stopInTurn(long atMillis, long gapMillis) {
        long at = atMillis;
        for (DutyNode node : run.nodes) {
            run.after(at, () -> node.stop(2_700));
            run.after(at + 3_500, node::start);
            at += gapMillis;
        }
        return this;
    }

    /** Steps the clocks of some nodes for a time. */
    public DutyScript stepClocks(long atMillis, long forMillis, int nodes, long stepMillis) {
        run.after(atMillis, () -> run.nodes.subList(0, nodes).forEach(node -> node.clockStep = stepMillis));
        run.after(atMillis + forMillis, () -> run.nodes.subList(0, nodes).forEach(node -> node.clockStep = 0));
        return this;
    }

    /** The store is down; leases pause or lapse. */
    public DutyScript storeDown(long atMillis, long forMillis, boolean leasesPause) {
        run.after(atMillis, () -> {
            run.store.down = true;
            run.store.leasesPause = leasesPause;
        });
        run.after(atMillis + forMillis, () -> {
            run.store.down = false;
            run.store.wasDown(forMillis);
        });
        return this;
    }

    /** A share of the store's calls are carried out late and never answered. */
    public DutyScript storeLate(long atMillis, long forMillis, double share) {
        run.after(atMillis, () -> run.store.lateShare = share);
        run.after(atMillis + forMillis, () -> run.store.lateShare = 0);
        return this;
    }

    /** A share of the reports are left unanswered and carried out seconds later. */
    public DutyScript platformLate(long atMillis, long forMillis, double share) {
        run.after(atMillis, () -> run.address.lateShare = share);
        run.after(atMillis + forMillis, () -> run.address.lateShare = 0);
        return this;
    }
}
