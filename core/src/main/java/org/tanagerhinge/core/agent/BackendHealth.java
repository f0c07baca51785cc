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
    private static final Duration PROBE_EVERY = Duration.ofMillis(250);
    /** A single failed run may be the run's fault; a second one without any output in between is the server's. */
    private static final int MOST_FAILURES = 2;

    private final Machine<BackendState, BackendEvent> machine = CHART.start();
    private int failures;
    private Instant lastProbe = Instant.MIN;
    private boolean inDoubt;

    boolean down() {
        return machine.in(BackendState.DOWN);
    }

    /** Notes output of any run. */
    void answered() {
        failures = 0;
        inDoubt = false;
    }

    /**
     * Notes a failed run; returns whether the server is now taken for down and was not before.
     *
     * @param reached false if not even a connection was made
     */
    boolean failed(boolean reached) {
        failures++;
        inDoubt = true;
        boolean before = down();
        if (!reached || failures >= MOST_FAILURES) {
            machine.fire(BackendEvent.FAIL);
        }
        return !before && down();
    }

    /** Returns whether a probe should be sent now: to a server that is down, and to one that has just failed a run. */
    boolean probeDue(Instant now) {
        boolean due = (down() || inDoubt)
                && (lastProbe.equals(Instant.MIN)
                        || !lastProbe.plus(PROBE_EVERY).isAfter(now));
        if (due) {
            lastProbe = now;
        }
        return due;
    }

    /** Notes the answer to a probe; returns what it changed. */
    Probed probed(boolean answered) {
        inDoubt = false;
        if (answered == !down()) {
            return Probed.NOTHING;
        }
        failures = 0;
        machine.fire(answered ? BackendEvent.ANSWER : BackendEvent.FAIL);
        return answered ? Probed.UP : Probed.DOWN;
    }

    /** What a probe changed. */
    enum Probed {
        NOTHING,
        UP,
        DOWN
    }
}
