package org.tanagerhinge.core.agent;

import org.tanagerhinge.core.id.RouterId;

/** Tracks one router's attempt that receives the output of a run, and the units sent and credited. */
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

    /** Returns the units sent that the caller has not yet consumed. */
    long outstandingUnits() {
        return sentUnits - creditedUnits;
    }
}
