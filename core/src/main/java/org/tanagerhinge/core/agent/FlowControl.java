package org.tanagerhinge.core.agent;

/** Pauses reading from the backend server while a caller is far behind, to bound the output buffered on the way. */
final class FlowControl {
    /** Bytes of a plain service's answer per unit of credit. */
    private static final int SERVICE_BYTES_PER_UNIT = 1024;

    private final AgentPort port;
    private final long creditWindowUnits;

    FlowControl(AgentPort port, long creditWindowUnits) {
        this.port = port;
        this.creditWindowUnits = creditWindowUnits;
    }

    /** Pauses or resumes a run by the outstanding units of its slowest subscriber. */
    void update(Run run) {
        if (!run.stateMachine().isIn(RunState.RUNNING)) {
            return;
        }
        long outstandingUnits = run.subscribers().stream()
                .mapToLong(Subscriber::outstandingUnits)
                .max()
                .orElse(0);
        long window = run.isService() ? creditWindowUnits * SERVICE_BYTES_PER_UNIT : creditWindowUnits;
        setPaused(run, run.paused() ? outstandingUnits > window / 2 : outstandingUnits > window);
    }

    /** Resumes a run regardless of its subscribers. */
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
