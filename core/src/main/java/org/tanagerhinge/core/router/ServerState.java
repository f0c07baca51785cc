package org.tanagerhinge.core.router;

/** Lists the states of a backend server as seen by a router; the transitions are in {@code charts/server.json}. */
enum ServerState {
    /** Its agent is not connected. */
    UNLINKED,
    /** Its agent is connected, and it may get work. */
    SERVING,
    /** Much slower than its peers; only probe requests are sent to it. */
    EJECTED
}
