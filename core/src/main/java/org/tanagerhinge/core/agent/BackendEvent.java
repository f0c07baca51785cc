package org.tanagerhinge.core.agent;

/** Lists the events that change the state of a backend server; the chart is {@code charts/backend.json}. */
enum BackendEvent {
    FAIL,
    ANSWER
}
