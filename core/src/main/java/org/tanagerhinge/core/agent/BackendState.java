package org.tanagerhinge.core.agent;

/** Lists the states of a backend server as its agent sees it; the chart is {@code charts/backend.json}. */
enum BackendState {
    /** Receives requests. */
    HEALTHY,
    /** Failed repeatedly without output; receives no requests until it answers a probe. */
    DOWN
}
