package org.tanagerhinge.core.attempt;

/** Lists the ways in which an attempt to send a request to a backend server can fail. */
public enum AttemptFailure {
    /** No connection was established; the server received nothing of the request. */
    NOT_SENT,
    /** The server reports that it did not run the request and will not run it. */
    NOT_RUN,
    /** Another instance answered at the address; it did not run the request. */
    WRONG_SERVER,
    /** The server answered with an error of its own. */
    SERVER_ERROR,
    /** The connection broke, or the answer was not one to the request; the request may have run. */
    BROKEN,
    /** The server sent what is no HTTP response; the request may have run. */
    MALFORMED,
    /** The server did not answer within the timeout; the request may still be running. */
    SILENT,
    /** The answer broke off after part of it was forwarded to the caller. */
    CUT;

    /** Returns whether the request may have run. */
    public boolean mayHaveRun() {
        return switch (this) {
            case NOT_SENT, NOT_RUN, WRONG_SERVER -> false;
            case SERVER_ERROR, BROKEN, MALFORMED, SILENT, CUT -> true;
        };
    }

    /** Returns whether the connection ended with the attempt, as it does when the server crashes. */
    public boolean connectionBroken() {
        return this == BROKEN || this == MALFORMED || this == CUT;
    }

    /** Returns whether the server may have received the request, so that sending it again is a retry there. */
    public boolean reachedServer() {
        return this != NOT_SENT;
    }
}
