package org.tanagerhinge.core.agent;

/** Stops reading from the backend server while a caller is far behind, so that nothing piles up on the way. */
final class FlowControl {
    /** Bytes of a plain service's answer that count as one unit of credit. */
    private static final int SERVICE_BYTES = 1024;

    private final AgentPort port;
    private final long creditUnits;

    FlowControl(AgentPort port, long creditUnits) {
        this.port = port;
        this.creditUnits = creditUnits;
    }

    /** Stops or goes on with reading a run's output, by how far the slowest of its subscribers is behind. */
    void adjust(Run run) {
        if (!run.machine().in(RunState.RUNNING)) {
            return;
        }
        long behind = run.subscribers().stream()
                .mapToLong(Subscriber::outstanding)
                .max()
                .orElse(0);
        long bound = run.isService() ? creditUnits * SERVICE_BYTES : creditUnits;
        pause(run, run.paused() ? behind > bound / 2 : behind > bound);
    }

    /** Goes on with reading, whoever is behind. */
    void resume(Run run) {
        pause(run, false);
    }

    private void pause(Run run, boolean pause) {
        if (pause != run.paused()) {
            run.paused(pause);
            port.pause(run.id(), pause);
        }
    }
}
