package org.tanagerhinge.bench.duty;

import java.util.List;

/** Draws one fault of a random run. */
final class DutyFaults {
    private final DutyRun run;

    DutyFaults(DutyRun run) {
        this.run = run;
    }

    void strike() {
        long length = run.between(500, 9_000);
        switch ((int) run.between(0, 14)) {
            case 0 -> kill(anyNode(), length);
            case 1 -> kill(holderOrAny(), length / 3);
            case 2 -> killAll(length / 3);
            case 3, 4 -> freeze(holderOrAny(), length);
            case 5 -> cutFromStore(holderOrAny(), length);
            case 6 -> cutFromPlatform(holderOrAny(), length);
            case 7 -> cutFromPeers(anyNode(), length);
            case 8 -> stepClocks(length);
            case 9 -> storeDown(length);
            case 10 -> storeUnreliable(length);
            case 11 -> platformUnreliable(length);
            case 12 -> stepBackCutOff(holderOrAny(), length);
            default -> stopInTurn();
        }
    }

    private DutyNode anyNode() {
        return run.nodes.get((int) run.between(0, run.nodes.size()));
    }

    private DutyNode holderOrAny() {
        return run.nodes.stream().filter(DutyNode::holds).findFirst().orElseGet(this::anyNode);
    }

    private void kill(DutyNode node, long length) {
        if (!node.up()) {
            return;
        }
        run.note("kill " + node.name);
        node.kill();
        run.after(length, () -> startIfDown(node));
    }

    private static void startIfDown(DutyNode node) {
        if (!node.up()) {
            node.start();
        }
    }

    private void killAll(long length) {
        run.note("kill all");
        for (DutyNode node : run.nodes) {
            node.kill();
            run.after(length + run.between(0, 500), () -> startIfDown(node));
        }
    }

    private void freeze(DutyNode node, long length) {
        run.note("freeze " + node.name + " for " + length);
        node.freeze();
        run.after(length, node::thaw);
    }

    private void cutFromStore(DutyNode node, long length) {
        run.note("cut from the store " + node.name + " for " + length);
        run.store.turnedAway.add(node.name);
        run.after(length, () -> run.store.turnedAway.remove(node.name));
    }

    private void cutFromPlatform(DutyNode node, long length) {
        run.note("cut from the platform " + node.name + " for " + length);
        run.address.cutOff.add(node.name);
        run.after(length, () -> run.address.cutOff.remove(node.name));
    }

    private void cutFromPeers(DutyNode node, long length) {
        run.note("cut from its peers " + node.name + " for " + length);
        List<String> others = run.nodes.stream().map(peer -> peer.name).toList();
        node.cutFrom.addAll(others);
        run.after(length, node.cutFrom::clear);
    }

    private void stepClocks(long length) {
        long step = (run.chance(0.5) ? 1 : -1) * (run.chance(0.5) ? 2_000 : 20_000);
        run.note("step clocks by " + step + " for " + length);
        for (DutyNode node : run.nodes) {
            if (run.chance(0.3)) {
                node.clockStep = step;
                run.after(length, () -> node.clockStep = 0);
            }
        }
    }

    /** A host whose clock goes back just as it can't renew its lease has the most reason to believe that it still runs. */
    private void stepBackCutOff(DutyNode node, long length) {
        cutFromStore(node, length);
        run.note("step back the clock of " + node.name);
        node.clockStep = -20_000;
        run.after(length, () -> node.clockStep = 0);
    }

    private void storeDown(long length) {
        if (run.store.down) {
            return;
        }
        run.note("store down for " + length);
        run.store.down = true;
        run.store.leasesPause = run.chance(0.5);
        run.after(length, () -> {
            run.store.down = false;
            run.store.wasDown(length);
        });
    }

    private void storeUnreliable(long length) {
        run.note("store loses answers, is late or slow for " + length);
        run.store.lostShare = 0.3;
        run.store.lateShare = run.chance(0.5) ? 0.3 : 0;
        run.store.slowMillis = run.chance(0.3) ? 200 : 0;
        run.after(length, () -> {
            run.store.lostShare = 0;
            run.store.lateShare = 0;
            run.store.slowMillis = 0;
        });
    }

    private void platformUnreliable(long length) {
        run.note("platform late or silent for " + length);
        run.address.lateShare = run.chance(0.5) ? 0.5 : 0;
        run.address.unansweredShare = 0.3;
        run.address.down = run.chance(0.2);
        run.after(length, () -> {
            run.address.lateShare = 0;
            run.address.unansweredShare = 0;
            run.address.down = false;
        });
    }

    private void stopInTurn() {
        run.note("stop in turn");
        long at = 0;
        for (DutyNode node : run.nodes) {
            run.after(at, () -> node.stop(400));
            run.after(at + 1_000, () -> startIfDown(node));
            at += run.between(400, 1_500);
        }
    }
}
