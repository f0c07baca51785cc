package org.tanagerhinge.core.attempt;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Quarantines requests that repeatedly crash the servers on which they run.
 *
 * <p>Without it, one request that crashes servers and is retried takes down servers faster than they restart, together
 * with all other requests that run there. Each request in flight at a server that crashes is suspected. {@value
 * #CRASHES_TO_QUARANTINE} crashes quarantine a request, unless a server completes it in between, which clears it. If these
 * crashes came together, one request at a time may be sent on trial.
 *
 * <p>Nodes report suspicions to each other. Their number is bounded and they expire: crashes after {@link
 * #CRASH_RETENTION_MILLIS}, a quarantine after {@link #QUARANTINE_MILLIS}; one more crash then renews it.
 */
public final class RequestQuarantine {
    /** Number of crashes that quarantine a request; one or two may coincide with an unrelated request. */
    static final int CRASHES_TO_QUARANTINE = 3;
    /** Duration of a quarantine, which is the maximum lease time of the platform's store. */
    public static final long QUARANTINE_MILLIS = 600_000;

    /** Time within which crashes may have one cause that isn't the request: all servers of a service crash at once. */
    static final long COMMON_CAUSE_MILLIS = 500;

    static final long CRASH_RETENTION_MILLIS = 2 * QUARANTINE_MILLIS;
    static final int MAX_SUSPECTS = 512;
    static final int MAX_UPDATES_PER_REPORT = 32;
    /** Maximum number of refreshes in one report, for nodes that missed the updates. */
    static final int MAX_REFRESHES_PER_REPORT = 4;

    private final SuspectTable<RequestFingerprint> suspects = new SuspectTable<>(MAX_SUSPECTS, CRASHES_TO_QUARANTINE);

    private RequestQuarantine() {}

    /** Creates an empty quarantine. */
    public static RequestQuarantine create() {
        return new RequestQuarantine();
    }

    /**
     * Reports a server crash that a request may have caused.
     *
     * @param instanceHash hash of the server's instance id
     * @param ageMillis time since the crash
     */
    public record CrashReport(int instanceHash, long ageMillis) {}

    /**
     * Reports to another node what is known of a suspected request.
     *
     * @param crashes the newest crashes of servers that were running it
     * @param clearedAgeMillis time since a server completed it; empty if none did
     * @param remainingMillis remaining time of its quarantine; 0 if it may be sent
     */
    public record Suspicion(
            RequestFingerprint request,
            List<CrashReport> crashes,
            Optional<Long> clearedAgeMillis,
            long remainingMillis) {}

    /** Returns whether there are no suspects, so that no fingerprint needs to be computed. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns the number of suspects. */
    public int size() {
        return suspects.size();
    }

    /** Returns the remaining time of a request's quarantine, in milliseconds; empty if it may be sent. */
    public OptionalLong remainingMillis(RequestFingerprint request, long nowMillis) {
        SuspectTable<RequestFingerprint>.Suspect suspect = suspects.find(request);
        return suspect != null && suspect.isQuarantined(nowMillis)
                ? OptionalLong.of(suspect.quarantinedUntilMillis() - nowMillis)
                : OptionalLong.empty();
    }

    /**
     * Returns the time from which a quarantined request may be sent on trial; empty if there is no reason to doubt that it
     * is at fault.
     */
    public OptionalLong trialFromMillis(RequestFingerprint request) {
        return isDoubtful(request) ? OptionalLong.of(suspects.find(request).trialFromMillis()) : OptionalLong.empty();
    }

    /** Returns whether the crashes of a request may have had another cause, so that it may be quarantined by mistake. */
    public boolean isDoubtful(RequestFingerprint request) {
        SuspectTable<RequestFingerprint>.Suspect suspect = suspects.find(request);
        if (suspect == null) {
            return false;
        }
        List<SuspectTable.Crash> crashes = suspect.crashes();
        return suspect.doubtful()
                || (crashes.size() >= CRASHES_TO_QUARANTINE
                        && suspect.newestCrashMillis() - crashes.getFirst().atMillis() <= COMMON_CAUSE_MILLIS);
    }

    /** Begins a trial of a request; returns false if it may not begin yet. */
    public boolean takeTrial(RequestFingerprint request, long nowMillis) {
        return isDoubtful(request) && suspects.find(request).takeTrial(nowMillis);
    }

    /** Ends the trial of a request that has shown nothing; the next one may begin at a time. */
    public void endTrial(RequestFingerprint request, long nextMillis) {
        SuspectTable<RequestFingerprint>.Suspect suspect = suspects.find(request);
        if (suspect != null) {
            suspect.endTrial(nextMillis);
        }
    }

    /** Returns the quarantined requests. */
    public List<RequestFingerprint> quarantined(long nowMillis) {
        return suspects.quarantined(nowMillis);
    }

    /**
     * Records that a server crashed while a request was in flight there.
     *
     * @param instanceId id of the server's instance
     * @return whether the request is newly quarantined
     */
    public boolean recordCrash(RequestFingerprint request, String instanceId, long nowMillis) {
        SuspectTable<RequestFingerprint>.Suspect suspect = suspects.findOrAdd(request);
        boolean wasQuarantined = suspect.isQuarantined(nowMillis);
        addCrash(suspect, instanceId.hashCode(), nowMillis);
        suspect.report();
        return suspect.isQuarantined(nowMillis) && !wasQuarantined;
    }

    private static void addCrash(SuspectTable<RequestFingerprint>.Suspect suspect, int instanceHash, long atMillis) {
        suspect.addCrash(new SuspectTable.Crash(instanceHash, 0, atMillis));
        if (suspect.crashes().size() >= CRASHES_TO_QUARANTINE) {
            suspect.quarantineUntil(suspect.newestCrashMillis() + QUARANTINE_MILLIS);
        }
    }

    /** Records that a server completed a request; returns whether the request was suspected. */
    public boolean recordCompletedRun(RequestFingerprint request, long nowMillis) {
        SuspectTable<RequestFingerprint>.Suspect suspect = suspects.find(request);
        if (suspect == null || suspect.crashes().isEmpty()) {
            return false;
        }
        clearUntil(suspect, nowMillis);
        suspect.report();
        return true;
    }

    private static void clearUntil(SuspectTable<RequestFingerprint>.Suspect suspect, long atMillis) {
        suspect.clearUntil(atMillis);
        if (suspect.crashes().size() < CRASHES_TO_QUARANTINE) {
            suspect.endQuarantine();
        }
    }

    /** Restores a quarantine read from the platform's store; returns whether it was not known here. */
    public boolean restore(RequestFingerprint request, long nowMillis) {
        return restore(request, false, nowMillis);
    }

    /**
     * Restores a quarantine read from the platform's store; returns whether it was not known here.
     *
     * @param doubtful whether the request may have a trial, since its crashes may have had another cause
     */
    public boolean restore(RequestFingerprint request, boolean doubtful, long nowMillis) {
        SuspectTable<RequestFingerprint>.Suspect suspect = suspects.findOrAdd(request);
        boolean wasQuarantined = suspect.isQuarantined(nowMillis);
        suspect.restore(doubtful, nowMillis);
        return !wasQuarantined;
    }

    /** Merges a report from another node; returns whether the request is newly quarantined. */
    public boolean merge(Suspicion update, long nowMillis) {
        SuspectTable<RequestFingerprint>.Suspect suspect = suspects.findOrAdd(update.request());
        boolean wasQuarantined = suspect.isQuarantined(nowMillis);
        update.clearedAgeMillis().ifPresent(ageMillis -> clearUntil(suspect, nowMillis - ageMillis));
        update.crashes().forEach(crash -> addCrash(suspect, crash.instanceHash(), nowMillis - crash.ageMillis()));
        if (update.remainingMillis() > 0 && !clearedSince(suspect, update, nowMillis)) {
            suspect.quarantineUntil(nowMillis + Math.min(QUARANTINE_MILLIS, update.remainingMillis()));
        }
        return suspect.isQuarantined(nowMillis) && !wasQuarantined;
    }

    /** Returns whether a server completed the request after all crashes in an update. */
    private static boolean clearedSince(
            SuspectTable<RequestFingerprint>.Suspect suspect, Suspicion update, long nowMillis) {
        return suspect.clearedUntilMillis() != Long.MIN_VALUE
                && update.crashes().stream()
                        .noneMatch(crash -> nowMillis - crash.ageMillis() > suspect.clearedUntilMillis());
    }

    /** Removes expired suspects. */
    public void evictExpired(long nowMillis) {
        suspects.evictExpired(nowMillis);
    }

    /** Returns the updates to be reported now, those with the most crashes first. */
    public List<Suspicion> pendingUpdates(long nowMillis) {
        return suspects.takePendingUpdates(MAX_UPDATES_PER_REPORT).stream()
                .map(request -> toSuspicion(request, nowMillis))
                .toList();
    }

    /** Returns the next suspects with several crashes or a quarantine, in rotation, for nodes that missed the updates. */
    public List<Suspicion> nextRefreshes(long nowMillis) {
        return suspects.takeRefreshes(MAX_REFRESHES_PER_REPORT, nowMillis).stream()
                .map(request -> toSuspicion(request, nowMillis))
                .toList();
    }

    private Suspicion toSuspicion(RequestFingerprint request, long nowMillis) {
        SuspectTable<RequestFingerprint>.Suspect suspect = suspects.find(request);
        return new Suspicion(
                request,
                suspect.crashes().stream()
                        .map(crash -> new CrashReport(crash.instanceHash(), nowMillis - crash.atMillis()))
                        .toList(),
                suspect.clearedUntilMillis() == Long.MIN_VALUE
                        ? Optional.empty()
                        : Optional.of(nowMillis - suspect.clearedUntilMillis()),
                suspect.isQuarantined(nowMillis) ? suspect.quarantinedUntilMillis() - nowMillis : 0);
    }
}
