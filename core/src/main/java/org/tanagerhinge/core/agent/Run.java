package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.chart.StateChart;
import org.tanagerhinge.core.chart.StateMachine;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame.Submit;
import org.tanagerhinge.core.message.WorkItem;

/** Tracks one attempt at an agent from its arrival to its end. */
public final class Run {
    private static final StateChart<RunState, RunEvent> CHART = StateChart.load("run", RunState.class, RunEvent.class);
    /** Prompt tokens that cost the engine as much as one generated token. */
    private static final long PROMPT_TOKENS_PER_COST_UNIT = 16;
    /** A run past its expected length is expected to produce another 1/n of what it has produced. */
    private static final int OVERRUN_DIVISOR = 4;

    private final long id;
    private final Submit submit;
    private final Instant arrivedAt;
    private final Instant deadline;
    private final StateMachine<RunState, RunEvent> stateMachine = CHART.newStateMachine();
    private final List<Subscriber> subscribers = new ArrayList<>();
    private long producedUnits;
    private Instant lastOutputAt;
    private Instant dispatchedAt;
    private boolean paused;

    Run(long id, Submit submit, Instant arrivedAt) {
        this.id = id;
        this.submit = submit;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt.plus(submit.timeLeft());
        this.producedUnits = submit.resumeFromUnits();
    }

    /** Returns the number that identifies the run to the agent's backend client. */
    public long id() {
        return id;
    }

    /** Returns the router's request. */
    public Submit submit() {
        return submit;
    }

    WorkItem work() {
        return submit.work();
    }

    int tier() {
        return work().scheduling().tier();
    }

    Instant arrivedAt() {
        return arrivedAt;
    }

    Instant deadline() {
        return deadline;
    }

    /** Returns the latest dispatch time that meets the run's target, given the expected latency of the first output. */
    Instant latestDispatch(Duration firstOutputLatency) {
        Duration target = work().scheduling().firstOutputTarget();
        return target.isZero() ? deadline : arrivedAt.plus(target).minus(firstOutputLatency);
    }

    Duration timeLeft(Instant now) {
        return Duration.between(now, deadline);
    }

    Optional<Execution> execution() {
        return submit.execution();
    }

    StateMachine<RunState, RunEvent> stateMachine() {
        return stateMachine;
    }

    List<Subscriber> subscribers() {
        return subscribers;
    }

    boolean isService() {
        return work().call() instanceof BackendCall.ServiceCall;
    }

    /** Returns the expected cost at the backend server, in generated tokens, or in calls for a plain service. */
    long cost() {
        if (isService()) {
            return 1;
        }
        return Math.max(1, submit.expectedUnits() + work().promptUnits() / PROMPT_TOKENS_PER_COST_UNIT);
    }

    /** Returns the expected cost of the output still to come. */
    long remainingCost() {
        if (isService()) {
            return 1;
        }
        long produced = producedUnits - submit.resumeFromUnits();
        return Math.max(1, Math.max(submit.expectedUnits() - produced, produced / OVERRUN_DIVISOR));
    }

    long producedUnits() {
        return producedUnits;
    }

    boolean hasOutput() {
        return lastOutputAt != null;
    }

    Instant dispatchedAt() {
        return dispatchedAt;
    }

    void markDispatched(Instant now) {
        dispatchedAt = now;
    }

    /** Records output; returns the time since the previous output, or empty for the first. */
    Optional<Duration> recordOutput(long units, Instant now) {
        Optional<Duration> gap = Optional.ofNullable(lastOutputAt).map(last -> Duration.between(last, now));
        producedUnits += units;
        lastOutputAt = now;
        return gap;
    }

    boolean paused() {
        return paused;
    }

    void paused(boolean newPaused) {
        paused = newPaused;
    }

    @Override
    public String toString() {
        return "run " + id + " of " + submit.request() + " (" + work().profile() + ", tier " + tier() + ")";
    }
}
