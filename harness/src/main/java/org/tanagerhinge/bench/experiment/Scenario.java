package org.tanagerhinge.bench.experiment;

import java.time.Duration;
import java.util.List;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.load.LoadClass;

/**
 * A set-up, its traffic and its faults, as read from a scenario file.
 *
 * @param seconds length of a run unless the command line says otherwise
 * @param repeats runs of each kind unless the command line says otherwise
 * @param engineModels figures of the engines, one each
 * @param serviceConcurrency calls that a plain service runs at once
 * @param serviceMillis how long a call of a plain service takes
 */
record Scenario(
        String name,
        String title,
        int seconds,
        int repeats,
        List<EngineModel> engineModels,
        int services,
        int serviceConcurrency,
        long serviceMillis,
        int routers,
        List<String> domains,
        ProfilesDocument profiles,
        List<LoadClass> classes,
        List<Fault> faults) {

    /**
     * Something that goes wrong, or is done by operators, during a run.
     *
     * @param runShare when, as a part of the run's length, so that a shorter run has the same faults
     * @param target the engine, service, router or domain
     */
    record Fault(double runShare, Kind kind, String target, double factor, Duration duration) {}

    /** The kinds of fault. */
    enum Kind {
        /** An engine's steps take longer by the factor. */
        SLOW,
        /** An engine breaks off all answers and is away for the length. */
        CRASH,
        /** A whole failure domain's agents go, and come back after the length. */
        DOMAIN,
        /** The platform's service is down for the length. */
        STORE_DOWN,
        /** An agent is replaced: it ends at once and starts anew on the same address after the length. */
        REPLACE_AGENT,
        /** A router is replaced likewise. */
        REPLACE_ROUTER,
        /** A server is marked as leaving, and joins again after the length. */
        LEAVE
    }

    /** Returns how long after its start a fault comes, in a run of a length. */
    static Duration startTime(Fault fault, Duration runDuration) {
        return Duration.ofNanos((long) (runDuration.toNanos() * fault.runShare()));
    }
}
