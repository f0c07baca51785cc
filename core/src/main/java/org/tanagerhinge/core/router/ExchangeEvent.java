package org.tanagerhinge.core.router;

/** Lists the events that change the state of an exchange. */
enum ExchangeEvent {
    CLAIM,
    SUBMIT,
    START,
    /** The agent returned the attempt as not run. */
    RETURN,
    /** An attempt of an idempotent request failed or was lost. */
    LOSE,
    /** An attempt of a non-idempotent request was lost, or another request holds its key. */
    DOUBT,
    FINISH,
    REFUSE,
    CUT
}
