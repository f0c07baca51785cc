package org.tanagerhinge.core.agent;

/** Lists the events that change the state of a run; the chart is {@code charts/run.json}. */
enum RunEvent {
    DISPATCH,
    SHED,
    FINISH,
    FAIL,
    CANCEL
}
