package org.tanagerhinge.bench.fleet;

/**
 * Describes what became of a simulated request.
 *
 * @param rank rank of its kind; 0 is the most urgent
 * @param workspace name of its workspace; empty if its caller has none
 * @param startedAtMillis when it was last sent to an engine; not a number if never
 * @param endedAtMillis when it was answered completely or lost
 * @param lossCause why it was lost, such as the reason of its last rejection; empty if it was served
 */
record RequestOutcome(
        String kind,
        int rank,
        String workspace,
        int inputTokens,
        double requestedAtMillis,
        double startedAtMillis,
        double endedAtMillis,
        Result result,
        String lossCause) {
    /** Says how a request ended. */
    enum Result {
        /** Answered completely, on time or late. */
        SERVED,
        /** Rejected until its caller gave up, or abandoned by its caller. */
        LOST,
        /** Ended by the crash of its engine or the end of its gateway. */
        CRASHED
    }

    boolean served() {
        return result == Result.SERVED;
    }
}
