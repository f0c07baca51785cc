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

/** Brings about the faults of a run, alone, together and twice. */
final class Faults {
    private static final Duration MOST_DOWN = Duration.ofSeconds(20);

    private final Simulation sim;
    private final double perSecond;
    private long injected;

    Faults(Simulation sim) {
        this.sim = sim;
        this.perSecond = sim.random.nextDouble() * 1.5;
    }

    long injected() {
        return injected;
    }

    void schedule(Duration length) {
        if (sim.chance(0.3)) {
            sim.messageFaults(sim.random.nextDouble() * 0.002, sim.random.nextDouble() * 0.01);
            sim.timeline.after(length, () -> sim.messageFaults(0, 0));
        }
        next(length);
    }

    private void next(Duration length) {
        double gap = -Math.log(1 - sim.random.nextDouble()) / Math.max(0.02, perSecond);
        sim.timeline.after(Duration.ofNanos((long) (gap * 1e9)), () -> {
            if (sim.timeline.elapsed().compareTo(length) > 0) {
                heal();
                return;
            }
            inject();
            next(length);
        });
    }

    /** Marks everything as serving again, so that a run ends with everything in force everywhere. */
    private void heal() {
        sim.agents().forEach(agent -> mark(agent, DesiredServerState.SERVING));
    }

    private void inject() {
        injected++;
        SimAgent agent = pick(sim.agents());
        SimRouter router = pick(sim.routers());
        Duration length = Duration.ofMillis(200 + sim.random.nextInt(6000));
        int kind = sim.random.nextInt(15);
        sim.timeline.log(() -> "FAULT " + kind + " agent " + agent + " router " + router + " for " + length);
        switch (kind) {
            case 0 -> restart(agent, length);
            case 1 -> restart(router, length);
            case 2 -> agent.pause(length);
            case 3 -> router.pause(length);
            case 4 -> cutLinks(router, agent);
            case 5 -> partition(router.domain, agent.domain, length);
            case 6 -> agent.backend().crash(length);
            case 7 -> agent.backend().slow(5, length.multipliedBy(2));
            case 8 -> agent.backend().stall(length);
            case 9 -> sim.store.down(Duration.ofMillis(sim.random.nextInt((int) MOST_DOWN.toMillis())));
            case 10 -> sim.store.slow(Duration.ofMillis(500), length);
            case 11 -> twoOperators();
            case 12 -> mark(agent, sim.chance(0.5) ? DesiredServerState.LEAVING : DesiredServerState.SERVING);
            case 13 -> agent.restartAsPlanned();
            default -> router.restartAsPlanned();
        }
    }

    private <T> T pick(List<T> choices) {
        return choices.get(sim.random.nextInt(choices.size()));
    }

    private void restart(SimNode node, Duration length) {
        if (node.up()) {
            node.crash();
            sim.timeline.after(length, node::start);
        }
    }

    private void cutLinks(SimRouter router, SimAgent agent) {
        router.cutLinkTo(agent, sim.chance(0.5), sim.chance(0.5));
    }

    private void partition(String routerDomain, String agentDomain, Duration length) {
        sim.separate(routerDomain, agentDomain, length);
        for (SimRouter router : sim.routers()) {
            for (SimAgent agent : sim.agents()) {
                if (router.domain.equals(routerDomain) && agent.domain.equals(agentDomain)) {
                    router.cutLinkTo(agent, sim.chance(0.2), sim.chance(0.2));
                }
            }
        }
    }

    /** Two operators edit from the same revision; at most one may be accepted, and a lost answer must be found out. */
    private void twoOperators() {
        try {
            ConfigStore documents = sim.store.documents();
            long base = documents.read().profiles().revision();
            if (sim.chance(0.3)) {
                sim.store.loseNextAnswer();
            }
            ConfigStore.Edit first = documents.editProfiles(base, before -> before);
            ConfigStore.Edit second = documents.editProfiles(base, before -> before);
            boolean both = first instanceof ConfigStore.Edit.Accepted && second instanceof ConfigStore.Edit.Accepted;
            ProfilesDocument now = documents.read().profiles();
            sim.checks.check(
                    org.tanagerhinge.core.invariant.Invariant.CONFIG_FORWARD,
                    !both && now.revision() == base + 1,
                    () -> "two edits from revision " + base + ": " + first + ", " + second + ", now " + now.revision());
        } catch (PlatformException | InvalidConfigException e) {
            sim.counted("operator_edit_failed");
        }
    }

    private void mark(SimAgent agent, DesiredServerState mark) {
        try {
            ConfigStore documents = sim.store.documents();
            ServersDocument before = documents.read().servers();
            BackendServer server = before.servers().stream()
                    .filter(each -> each.id().value().equals(agent.name))
                    .findFirst()
                    .orElseThrow();
            documents.editServers(before.revision(), document -> document.withServer(server.withDesiredState(mark)));
        } catch (PlatformException | InvalidConfigException e) {
            sim.counted("operator_edit_failed");
        }
    }
}
