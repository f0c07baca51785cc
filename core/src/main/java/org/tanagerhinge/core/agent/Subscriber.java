package org.tanagerhinge.core.agent;

import org.tanagerhinge.core.id.RouterId;

/** One router's attempt that gets the output of a run, and how far it has taken it. */
final class Subscriber {
    private final RouterId router;
    private final long attempt;
    private long sentUnits;
    private long creditedUnits;

    Subscriber(RouterId router, long attempt) {
        this.router = router;
        this.attempt = attempt;
    }

    RouterId router() {
        return router;
    }

    long attempt() {
        return attempt;
    }

    void recordSent(long units) {
        sentUnits += units;
    }

    void recordCredit(long units) {
        creditedUnits += units;
    }

    /** Returns units sent that the caller has not yet taken. */
    long outstandingUnits() {
        return sentUnits - creditedUnits;
    }
}
