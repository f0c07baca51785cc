package org.tanagerhinge.bench.duty;

import java.util.List;

/** Injects random faults into a simulated run of duties. */
final class DutyFaultInjector {
    private final DutySimulation simulation;

    DutyFaultInjector(DutySimulation simulation) {
        this.simulation = simulation;
    }

    void injectRandomFault() {
        long durationMillis = simulation.randomBetween(500, 9_000);
        switch ((int) simulation.randomBetween(0, 14)) {
            case 0 -> kill(randomNode(), durationMillis);
            case 1 -> kill(holderOrRandomNode(), durationMillis / 3);
            case 2 -> killAll(durationMillis / 3);
            case 3, 4 -> suspend(holderOrRandomNode(), durationMillis);
            case 5 -> isolateFromStore(holderOrRandomNode(), durationMillis);
            case 6 -> isolateFromPlatform(holderOrRandomNode(), durationMillis);
            case 7 -> isolateFromPeers(randomNode(), durationMillis);
            case 8 -> stepClocks(durationMillis);
            case 9 -> stopStore(durationMillis);
            case 10 -> makeStoreUnreliable(durationMillis);
            case 11 -> makePlatformUnreliable(durationMillis);
            case 12 -> stepClockBackWhileIsolated(holderOrRandomNode(), durationMillis);
            default -> restartInTurn();
        }
    }

    private DutyNode randomNode() {
        return simulation.nodes.get((int) simulation.randomBetween(0, simulation.nodes.size()));
    }

    private DutyNode holderOrRandomNode() {
        return simulation.nodes.stream().filter(DutyNode::isHolder).findFirst().orElseGet(this::randomNode);
    }

    private void kill(DutyNode node, long durationMillis) {
        if (!node.isUp()) {
            return;
        }
        simulation.logEvent("kill " + node.name);
        node.kill();
        simulation.schedule(durationMillis, () -> startIfDown(node));
    }

    private static void startIfDown(DutyNode node) {
        if (!node.isUp()) {
            node.start();
        }
    }

    private void killAll(long durationMillis) {
        simulation.logEvent("kill all nodes");
        for (DutyNode node : simulation.nodes) {
            node.kill();
            simulation.schedule(durationMillis + simulation.randomBetween(0, 500), () -> startIfDown(node));
        }
    }

    private void suspend(DutyNode node, long durationMillis) {
        simulation.logEvent("suspend " + node.name + " for " + durationMillis);
        node.suspend();
        simulation.schedule(durationMillis, node::resume);
    }

    private void isolateFromStore(DutyNode node, long durationMillis) {
        simulation.logEvent("isolate from the store " + node.name + " for " + durationMillis);
        simulation.store.rejectedNodes.add(node.name);
        simulation.schedule(durationMillis, () -> simulation.store.rejectedNodes.remove(node.name));
    }

    private void isolateFromPlatform(DutyNode node, long durationMillis) {
        simulation.logEvent("isolate from the platform " + node.name + " for " + durationMillis);
        simulation.usageEndpoint.isolatedNodes.add(node.name);
        simulation.schedule(durationMillis, () -> simulation.usageEndpoint.isolatedNodes.remove(node.name));
    }

    private void isolateFromPeers(DutyNode node, long durationMillis) {
        simulation.logEvent("isolate from its peers " + node.name + " for " + durationMillis);
        List<String> peerNames =
                simulation.nodes.stream().map(peer -> peer.name).toList();
        node.unreachablePeers.addAll(peerNames);
        simulation.schedule(durationMillis, node.unreachablePeers::clear);
    }

    private void stepClocks(long durationMillis) {
        long offsetMillis = (simulation.chance(0.5) ? 1 : -1) * (simulation.chance(0.5) ? 2_000 : 20_000);
        simulation.logEvent("step wall clocks by " + offsetMillis + " for " + durationMillis);
        for (DutyNode node : simulation.nodes) {
            if (simulation.chance(0.3)) {
                node.clockOffsetMillis = offsetMillis;
                simulation.schedule(durationMillis, () -> node.clockOffsetMillis = 0);
            }
        }
    }

    /**
     * Steps the clock of a node back while it cannot renew its lease; a lease on the wall clock would outlive its
     * term.
     */
    private void stepClockBackWhileIsolated(DutyNode node, long durationMillis) {
        isolateFromStore(node, durationMillis);
        simulation.logEvent("step back the wall clock of " + node.name);
        node.clockOffsetMillis = -20_000;
        simulation.schedule(durationMillis, () -> node.clockOffsetMillis = 0);
    }

    private void stopStore(long durationMillis) {
        if (simulation.store.down) {
            return;
        }
        simulation.logEvent("store down for " + durationMillis);
        simulation.store.down = true;
        simulation.store.leasesPause = simulation.chance(0.5);
        simulation.schedule(durationMillis, () -> {
            simulation.store.down = false;
            simulation.store.recordOutage(durationMillis);
        });
    }

    private void makeStoreUnreliable(long durationMillis) {
        simulation.logEvent("store loses responses, delays calls or is slow for " + durationMillis);
        simulation.store.lostShare = 0.3;
        simulation.store.lateShare = simulation.chance(0.5) ? 0.3 : 0;
        simulation.store.slowMillis = simulation.chance(0.3) ? 200 : 0;
        simulation.schedule(durationMillis, () -> {
            simulation.store.lostShare = 0;
            simulation.store.lateShare = 0;
            simulation.store.slowMillis = 0;
        });
    }

    private void makePlatformUnreliable(long durationMillis) {
        simulation.logEvent("platform delays or does not answer calls for " + durationMillis);
        simulation.usageEndpoint.lateShare = simulation.chance(0.5) ? 0.5 : 0;
        simulation.usageEndpoint.unansweredShare = 0.3;
        simulation.usageEndpoint.down = simulation.chance(0.2);
        simulation.schedule(durationMillis, () -> {
            simulation.usageEndpoint.lateShare = 0;
            simulation.usageEndpoint.unansweredShare = 0;
            simulation.usageEndpoint.down = false;
        });
    }

    private void restartInTurn() {
        simulation.logEvent("restart all nodes in turn");
        long delayMillis = 0;
        for (DutyNode node : simulation.nodes) {
            simulation.schedule(delayMillis, () -> node.stop(400));
            simulation.schedule(delayMillis + 1_000, () -> startIfDown(node));
            delayMillis += simulation.randomBetween(400, 1_500);
        }
    }
}
