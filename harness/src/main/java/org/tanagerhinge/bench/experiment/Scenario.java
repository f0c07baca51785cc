package org.tanagerhinge.bench.experiment;

import java.time.Duration;
import java.util.List;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.standin.EngineModel;
import org.tanagerhinge.standin.load.LoadClass;

/**
 * Describes a cluster, its traffic and its faults, as read from a scenario file.
 *
 * @param seconds default length of a run
 * @param repeats default number of runs of each kind
 * @param engineModels parameters of each engine
 * @param serviceConcurrency maximum concurrent calls of a plain service
 * @param serviceMillis duration of a call of a plain service
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
     * Describes a fault or an action of an operator during a run.
     *
     * @param runShare start of the fault as a share of the run, so that a shorter run has the same faults
     * @param target engine, service, router or failure domain
     */
    record Fault(double runShare, Kind kind, String target, double factor, Duration duration) {}

    /** Lists the kinds of fault. */
    enum Kind {
        /** Multiplies the step time of an engine by the factor. */
        SLOW,
        /** Aborts all answers of an engine and stops it for the duration. */
        CRASH,
        /** Stops all agents of a failure domain and restarts them after the duration. */
        DOMAIN,
        /** Stops the platform's store for the duration. */
        STORE_DOWN,
        /** Kills an agent and restarts it on the same address after the duration. */
        REPLACE_AGENT,
        /** Kills a router and restarts it on the same address after the duration. */
        REPLACE_ROUTER,
        /** Sets a server to leaving, and back to serving after the duration. */
        LEAVE
    }

    /** Returns the time from the start of a run of the given duration to the fault. */
    static Duration startTime(Fault fault, Duration runDuration) {
        return Duration.ofNanos((long) (runDuration.toNanos() * fault.runShare()));
    }
}
