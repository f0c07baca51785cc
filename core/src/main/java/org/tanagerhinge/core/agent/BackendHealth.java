package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import org.tanagerhinge.core.chart.Machine;
import org.tanagerhinge.core.chart.StateChart;

/**
 * Notices that the backend server fails instead of answering.
 *
 * <p>A crashed server fails each request at once, so it looks idle and fast and draws more and more of them; requests
 * that must not run twice are lost to it one after the other. After a failure without any answer in between it gets no
 * work until it answers a probe.
 */
final class BackendHealth {
    private static final StateChart<BackendState, BackendEvent> CHART =
            StateChart.load("backend", BackendState.class, BackendEvent.class);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);
    /** A single failed run may be the run's fault; a second one without any output in between is the server's. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    private final Machine<BackendState, BackendEvent> stateMachine = CHART.start();
    private int consecutiveFailures;
    private Instant lastProbeAt = Instant.MIN;
    private boolean suspect;

    boolean isDown() {
        return stateMachine.in(BackendState.DOWN);
    }

    /** Notes output of any run. */
    void recordOutput() {
        consecutiveFailures = 0;
        suspect = false;
    }

    /**
     * Notes a failed run; returns whether the server is now taken for down and was not before.
     *
     * @param reached false if not even a connection was made
     */
    boolean recordFailure(boolean reached) {
        consecutiveFailures++;
        suspect = true;
        boolean wasDown = isDown();
        if (!reached || consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            stateMachine.fire(BackendEvent.FAIL);
        }
        return !wasDown && isDown();
    }

    /** Returns whether a probe should be sent now: to a server that is down, and to one that has just failed a run. */
    boolean startProbeIfDue(Instant now) {
        boolean due = (isDown() || suspect)
                && (lastProbeAt.equals(Instant.MIN)
                        || !lastProbeAt.plus(PROBE_INTERVAL).isAfter(now));
        if (due) {
            lastProbeAt = now;
        }
        return due;
    }

    /** Notes the answer to a probe; returns what it changed. */
    ProbeEffect recordProbe(boolean answered) {
        suspect = false;
        if (answered == !isDown()) {
            return ProbeEffect.UNCHANGED;
        }
        consecutiveFailures = 0;
        stateMachine.fire(answered ? BackendEvent.ANSWER : BackendEvent.FAIL);
        return answered ? ProbeEffect.UP : ProbeEffect.DOWN;
    }

    /** What a probe changed. */
    enum ProbeEffect {
        UNCHANGED,
        UP,
        DOWN
    }
}
