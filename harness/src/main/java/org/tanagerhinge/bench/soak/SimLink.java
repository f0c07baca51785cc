package org.tanagerhinge.bench.soak;

import java.time.Duration;
import java.time.Instant;
import org.tanagerhinge.core.message.Frame;

/**
 * Simulates a connection between a router and an agent.
 *
 * <p>Messages arrive in order and with latency. A cut drops messages in transit; each end detects it separately, at
 * once or after the idle timeout. An end that has closed ignores further messages, as the daemons do.
 */
final class SimLink {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(3);

    private final Simulation sim;
    private final SimRouter router;
    private final SimAgent agent;
    private final int routerStart;
    private final int agentStart;
    private Instant lastArrivalAtAgent;
    private Instant lastArrivalAtRouter;
    private Instant routerReceivedAt;
    private Instant agentReceivedAt;
    private boolean cut;
    private boolean routerOpen = true;
    private boolean agentOpen = true;

    SimLink(Simulation sim, SimRouter router, SimAgent agent) {
        this.sim = sim;
        this.router = router;
        this.agent = agent;
        this.routerStart = router.startNumber();
        this.agentStart = agent.startNumber();
        this.lastArrivalAtAgent = sim.scheduler.instant();
        this.lastArrivalAtRouter = lastArrivalAtAgent;
        this.routerReceivedAt = lastArrivalAtAgent;
        this.agentReceivedAt = lastArrivalAtAgent;
        scheduleIdleCheck();
    }

    SimAgent agent() {
        return agent;
    }

    SimRouter router() {
        return router;
    }

    void sendToAgent(Frame.FromRouter frame) {
        if (cut || sim.losesMessage()) {
            return;
        }
        lastArrivalAtAgent = nextArrival(lastArrivalAtAgent);
        Runnable delivery = () -> agent.deliver(agentStart, () -> {
            if (agentOpen) {
                agentReceivedAt = sim.scheduler.instant();
                agent.receive(this, frame);
            }
        });
        deliverAt(lastArrivalAtAgent, delivery);
        if (sim.duplicatesMessage()) {
            deliverAt(lastArrivalAtAgent, delivery);
        }
    }

    void sendToRouter(Frame.FromAgent frame) {
        if (cut || sim.losesMessage()) {
            return;
        }
        lastArrivalAtRouter = nextArrival(lastArrivalAtRouter);
        Runnable delivery = () -> router.deliver(routerStart, () -> {
            if (routerOpen) {
                routerReceivedAt = sim.scheduler.instant();
                router.receive(this, frame);
            }
        });
        deliverAt(lastArrivalAtRouter, delivery);
        if (sim.duplicatesMessage()) {
            deliverAt(lastArrivalAtRouter, delivery);
        }
    }

    private void deliverAt(Instant moment, Runnable delivery) {
        sim.scheduler.at(moment, () -> {
            if (!cut) {
                delivery.run();
            }
        });
    }

    private Instant nextArrival(Instant lastArrival) {
        Instant arrival = sim.scheduler.instant().plus(sim.latency());
        return arrival.isBefore(lastArrival) ? lastArrival : arrival;
    }

    /** Cuts the connection; an end that is not notified detects it by the idle timeout. */
    void cut(boolean notifyRouter, boolean notifyAgent) {
        if (cut) {
            return;
        }
        cut = true;
        if (notifyRouter) {
            router.deliver(routerStart, this::closeRouterEnd);
        }
        if (notifyAgent) {
            agent.deliver(agentStart, this::closeAgentEnd);
        }
    }

    private void scheduleIdleCheck() {
        sim.scheduler.after(Duration.ofMillis(500), () -> {
            Instant oldestAllowed = sim.scheduler.instant().minus(IDLE_TIMEOUT);
            if (routerOpen && routerReceivedAt.isBefore(oldestAllowed)) {
                router.deliver(routerStart, this::closeRouterEnd);
            }
            if (agentOpen && agentReceivedAt.isBefore(oldestAllowed)) {
                agent.deliver(agentStart, this::closeAgentEnd);
            }
            boolean routerGone = !router.up() || router.startNumber() != routerStart;
            boolean agentGone = !agent.up() || agent.startNumber() != agentStart;
            if ((routerOpen && !routerGone) || (agentOpen && !agentGone)) {
                scheduleIdleCheck();
            }
        });
    }

    /** Closes the router's end and, after the latency, the agent's. */
    void closeRouterEnd() {
        if (!routerOpen) {
            return;
        }
        routerOpen = false;
        router.onLinkDown(this);
        sim.scheduler.after(sim.latency(), () -> {
            if (!cut) {
                cut(false, true);
            }
        });
    }

    /** Closes the agent's end and, after the latency, the router's. */
    void closeAgentEnd() {
        if (!agentOpen) {
            return;
        }
        agentOpen = false;
        agent.onLinkDown(this);
        sim.scheduler.after(sim.latency(), () -> {
            if (!cut) {
                cut(true, false);
            }
        });
    }
}
