package org.tanagerhinge.gateway;

import java.util.List;
import java.util.function.BiConsumer;
import org.tanagerhinge.core.attempt.CrashSuspect;

/**
 * The right to send one request although something in it is quarantined, to show whether it crashes its server.
 *
 * <p>What the run shows is told by its evidence: a crash, or that the server goes on well. A trial that shows neither must
 * be ended, so that another request may have it.
 */
final class QuarantineTrial {
    /** Time after a run that has shown nothing before which the next one doesn't begin, in milliseconds. */
    private static final long REPEAT_MILLIS = 5_000;

    private final List<CrashSuspect> suspects;
    private final BiConsumer<CrashSuspect, Long> end;

    /**
     * Creates the trial of some suspects.
     *
     * @param end ends the trial of a suspect; receives the time in milliseconds after which the next one may begin
     */
    QuarantineTrial(List<CrashSuspect> suspects, BiConsumer<CrashSuspect, Long> end) {
        this.suspects = suspects;
        this.end = end;
    }

    /** Ends the trial, since the request did not run: the next request may have it. */
    void didNotRun() {
        suspects.forEach(suspect -> end.accept(suspect, 0L));
    }

    /** Ends the trial, since its run ended otherwise than by a crash, but did not go on for long enough. */
    void showedNothing() {
        suspects.forEach(suspect -> end.accept(suspect, REPEAT_MILLIS));
    }
}
