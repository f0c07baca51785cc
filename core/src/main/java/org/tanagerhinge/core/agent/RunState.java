package org.tanagerhinge.core.agent;

/** Lists the states of a run; the chart is {@code charts/run.json}. */
enum RunState {
    QUEUED,
    RUNNING,
    DONE,
    FAILED,
    NOT_RUN
}
