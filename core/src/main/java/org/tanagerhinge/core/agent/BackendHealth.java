package org.tanagerhinge.core.agent;

import java.time.Duration;
import java.time.Instant;
import org.tanagerhinge.core.chart.StateChart;
import org.tanagerhinge.core.chart.StateMachine;

/**
 * Detects a backend server that fails requests instead of serving them.
 *
 * <p>A crashed server fails each request at once, so it looks idle and fast and attracts ever more requests;
 * non-idempotent requests among them are lost. After {@link #MAX_CONSECUTIVE_FAILURES} failures without output in
 * between, the server gets no work until it answers a probe.
 */
final class BackendHealth {
    private static final StateChart<BackendState, BackendEvent> CHART =
            StateChart.load("backend", BackendState.class, BackendEvent.class);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);
    /** One failure may be caused by the request itself; a second one without output in between indicates the server. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    private final StateMachine<BackendState, BackendEvent> stateMachine = CHART.newStateMachine();
    private int consecutiveFailures;
    private Instant lastProbeAt = Instant.MIN;
    private boolean suspect;

    boolean isDown() {
        return stateMachine.isIn(BackendState.DOWN);
    }

    /** Records that a run produced output. */
    void recordOutput() {
        consecutiveFailures = 0;
        suspect = false;
    }

    /**
     * Records a failed run; returns whether it took the server down.
     *
     * @param reachedBackend false if no connection to the server was made
     */
    boolean recordFailure(boolean reachedBackend) {
        consecutiveFailures++;
        suspect = true;
        boolean wasDown = isDown();
        if (!reachedBackend || consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            stateMachine.fire(BackendEvent.FAIL);
        }
        return !wasDown && isDown();
    }

    /** Returns whether a probe is due for a server that is down or has just failed a run; if so, records its start. */
    boolean startProbeIfDue(Instant now) {
        boolean due = (isDown() || suspect)
                && (lastProbeAt.equals(Instant.MIN)
                        || !lastProbeAt.plus(PROBE_INTERVAL).isAfter(now));
        if (due) {
            lastProbeAt = now;
        }
        return due;
    }

    /** Records the result of a probe; returns its effect on the server's state. */
    ProbeEffect recordProbe(boolean answered) {
        suspect = false;
        if (answered == !isDown()) {
            return ProbeEffect.UNCHANGED;
        }
        consecutiveFailures = 0;
        stateMachine.fire(answered ? BackendEvent.ANSWER : BackendEvent.FAIL);
        return answered ? ProbeEffect.UP : ProbeEffect.DOWN;
    }

    /** Describes the effect of a probe on the server's state. */
    enum ProbeEffect {
        UNCHANGED,
        UP,
        DOWN
    }
}
