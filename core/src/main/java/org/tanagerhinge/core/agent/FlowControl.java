package org.tanagerhinge.core.agent;

/** Stops reading from the backend server while a caller is far behind, so that nothing piles up on the way. */
final class FlowControl {
    /** Bytes of a plain service's answer that count as one unit of credit. */
    private static final int SERVICE_BYTES_PER_UNIT = 1024;

    private final AgentPort port;
    private final long creditWindowUnits;

    FlowControl(AgentPort port, long creditWindowUnits) {
        this.port = port;
        this.creditWindowUnits = creditWindowUnits;
    }

    /** Stops or goes on with reading a run's output, by how far the slowest of its subscribers is behind. */
    void update(Run run) {
        if (!run.stateMachine().in(RunState.RUNNING)) {
            return;
        }
        long outstandingUnits = run.subscribers().stream()
                .mapToLong(Subscriber::outstandingUnits)
                .max()
                .orElse(0);
        long window = run.isService() ? creditWindowUnits * SERVICE_BYTES_PER_UNIT : creditWindowUnits;
        setPaused(run, run.paused() ? outstandingUnits > window / 2 : outstandingUnits > window);
    }

    /** Goes on with reading, whoever is behind. */
    void resume(Run run) {
        setPaused(run, false);
    }

    private void setPaused(Run run, boolean paused) {
        if (paused != run.paused()) {
            run.paused(paused);
            port.setPaused(run.id(), paused);
        }
    }
}
