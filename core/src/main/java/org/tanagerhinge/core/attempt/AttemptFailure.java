package org.tanagerhinge.core.attempt;

/** The ways in which sending a request to a backend server may fail. */
public enum AttemptFailure {
    /** No connection could be made; the server has seen nothing of the request. */
    NOT_SENT,
    /** The server states that it did not run the request and won't. */
    NOT_RUN,
    /** Another incarnation answers at the address; it did not run the request. */
    WRONG_SERVER,
    /** The server answered with an error of its own. */
    SERVER_ERROR,
    /** The connection broke, or what came is no answer: the request may have run. */
    BROKEN,
    /** The server said nothing for too long: the request may be running. */
    SILENT,
    /** The answer broke off after a part of it was passed on. */
    CUT;

    /** Returns whether the request may have run. */
    public boolean mayHaveRun() {
        return switch (this) {
            case NOT_SENT, NOT_RUN, WRONG_SERVER -> false;
            case SERVER_ERROR, BROKEN, SILENT, CUT -> true;
        };
    }

    /** Returns whether the connection broke under the request, as it does when the server ends. */
    public boolean connectionBroken() {
        return this == BROKEN || this == CUT;
    }

    /** Returns whether the server has seen the request, so that sending it again is a repeat there. */
    public boolean reachedServer() {
        return this != NOT_SENT;
    }
}
