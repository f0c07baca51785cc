package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.util.List;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.node.platform.ConfigStore;
import org.tanagerhinge.node.platform.PlatformException;

/** Injects random, possibly overlapping faults into a simulated run. */
final class FaultInjector {
    private static final Duration MAX_STORE_OUTAGE = Duration.ofSeconds(20);
    /** Longest time from the end of traffic to the operators' last edits, so that these can come into force. */
    private static final Duration MAX_LAST_EDIT_DELAY = Duration.ofSeconds(30);

    private final Simulation sim;
    private final double faultsPerSecond;
    private long injectedFaults;

    FaultInjector(Simulation sim) {
        this.sim = sim;
        this.faultsPerSecond = sim.random.nextDouble() * 1.5;
    }

    long injectedFaults() {
        return injectedFaults;
    }

    void schedule(Duration trafficDuration) {
        if (sim.chance(0.3)) {
            sim.setMessageFaults(sim.random.nextDouble() * 0.002, sim.random.nextDouble() * 0.01);
            sim.scheduler.after(trafficDuration, () -> sim.setMessageFaults(0, 0));
        }
        scheduleNext(trafficDuration);
    }

    private void scheduleNext(Duration trafficDuration) {
        double gapSeconds = -Math.log(1 - sim.random.nextDouble()) / Math.max(0.02, faultsPerSecond);
        Duration gap = Duration.ofNanos((long) (gapSeconds * 1e9));
        Duration untilLastEdit = trafficDuration.plus(MAX_LAST_EDIT_DELAY).minus(sim.scheduler.elapsed());
        sim.scheduler.after(gap.compareTo(untilLastEdit) < 0 ? gap : untilLastEdit, () -> {
            if (sim.scheduler.elapsed().compareTo(trafficDuration) > 0) {
                restoreServing();
                return;
            }
            injectRandomFault();
            scheduleNext(trafficDuration);
        });
    }

    /** Sets all servers to serving, so that the configuration of all nodes can converge before the run ends. */
    private void restoreServing() {
        sim.agents().forEach(agent -> setDesiredState(agent, DesiredServerState.SERVING));
    }

    private void injectRandomFault() {
        injectedFaults++;
        SimAgent agent = pick(sim.agents());
        SimRouter router = pick(sim.routers());
        Duration duration = Duration.ofMillis(200 + sim.random.nextInt(6000));
        int kind = sim.random.nextInt(15);
        sim.scheduler.log(() -> "FAULT " + kind + " agent " + agent + " router " + router + " for " + duration);
        switch (kind) {
            case 0 -> restart(agent, duration);
            case 1 -> restart(router, duration);
            case 2 -> agent.pause(duration);
            case 3 -> router.pause(duration);
            case 4 -> cutLink(router, agent);
            case 5 -> partition(router.domain, agent.domain, duration);
            case 6 -> agent.backend().crash(duration);
            case 7 -> agent.backend().slow(5, duration.multipliedBy(2));
            case 8 -> agent.backend().stall(duration);
            case 9 -> sim.store.down(Duration.ofMillis(sim.random.nextInt((int) MAX_STORE_OUTAGE.toMillis())));
            case 10 -> sim.store.slowDown(Duration.ofMillis(500), duration);
            case 11 -> editConcurrently();
            case 12 ->
                setDesiredState(agent, sim.chance(0.5) ? DesiredServerState.LEAVING : DesiredServerState.SERVING);
            case 13 -> agent.restartGracefully();
            default -> router.restartGracefully();
        }
    }

    private <T> T pick(List<T> choices) {
        return choices.get(sim.random.nextInt(choices.size()));
    }

    private void restart(SimNode node, Duration duration) {
        if (node.up()) {
            node.crash();
            sim.scheduler.after(duration, node::start);
        }
    }

    private void cutLink(SimRouter router, SimAgent agent) {
        router.cutLinkTo(agent, sim.chance(0.5), sim.chance(0.5));
    }

    private void partition(String routerDomain, String agentDomain, Duration duration) {
        sim.partition(routerDomain, agentDomain, duration);
        for (SimRouter router : sim.routers()) {
            for (SimAgent agent : sim.agents()) {
                if (router.domain.equals(routerDomain) && agent.domain.equals(agentDomain)) {
                    router.cutLinkTo(agent, sim.chance(0.2), sim.chance(0.2));
                }
            }
        }
    }

    /**
     * Makes two edits from the same revision; at most one may be accepted, also if the response to the first is lost.
     */
    private void editConcurrently() {
        try {
            ConfigStore configStore = sim.store.documents();
            long baseRevision = configStore.read().profiles().revision();
            if (sim.chance(0.3)) {
                sim.store.loseNextResponse();
            }
            ConfigStore.Edit first = configStore.editProfiles(baseRevision, before -> before);
            ConfigStore.Edit second = configStore.editProfiles(baseRevision, before -> before);
            boolean both = first instanceof ConfigStore.Edit.Accepted && second instanceof ConfigStore.Edit.Accepted;
            ProfilesDocument current = configStore.read().profiles();
            sim.checks.check(
                    org.tanagerhinge.core.invariant.Invariant.CONFIG_FORWARD,
                    !both && current.revision() == baseRevision + 1,
                    () -> "two edits from revision " + baseRevision + ": " + first + ", " + second + ", now "
                            + current.revision());
        } catch (PlatformException | InvalidConfigException e) {
            sim.increment("operator_edit_failed");
        }
    }

    private void setDesiredState(SimAgent agent, DesiredServerState state) {
        try {
            ConfigStore configStore = sim.store.documents();
            ServersDocument current = configStore.read().servers();
            BackendServer server = current.servers().stream()
                    .filter(each -> each.id().value().equals(agent.name))
                    .findFirst()
                    .orElseThrow();
            configStore.editServers(
                    current.revision(), document -> document.withServer(server.withDesiredState(state)));
        } catch (PlatformException | InvalidConfigException e) {
            sim.increment("operator_edit_failed");
        }
    }
}
