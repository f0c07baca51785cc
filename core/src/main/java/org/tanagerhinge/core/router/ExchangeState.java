package org.tanagerhinge.core.router;

/** Lists the states of an exchange; the transitions are in {@code charts/exchange.json}. */
enum ExchangeState {
    /** No attempt is in flight; a server is being chosen. */
    CHOOSING,
    /** The platform's store was requested to claim the idempotency key. */
    CLAIMING,
    /** An attempt was sent to an agent. */
    SUBMITTED,
    /** The attempt is running at the backend server. */
    RUNNING,
    /** The outcome of a non-idempotent request is unknown; the agent that was sent it is to be queried. */
    UNCERTAIN,
    /** The caller received the complete answer. */
    COMPLETE,
    /** The caller was refused without any output. */
    REFUSED,
    /** The caller received part of an answer and the information that it is truncated. */
    CUT
}
