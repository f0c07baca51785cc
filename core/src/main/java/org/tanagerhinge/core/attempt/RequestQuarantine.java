package org.tanagerhinge.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Quarantines requests that repeatedly crash the servers on which they run.
 *
 * <p>Without it, one request that crashes servers and is retried takes down servers faster than they restart, together
 * with all other requests that run there. Each request in flight at a server that crashes is suspected. {@value
 * #CRASHES_TO_QUARANTINE} crashes quarantine a request, unless a server completes it in between, which clears it.
 *
 * <p>Nodes report suspicions to each other. Their number is bounded and they expire: crashes after {@link
 * #CRASH_RETENTION_MILLIS}, a quarantine after {@link #QUARANTINE_MILLIS}; one more crash then renews it.
 */
public final class RequestQuarantine {
    /** Number of crashes that quarantine a request; one or two may coincide with an unrelated request. */
    static final int CRASHES_TO_QUARANTINE = 3;
    /** Duration of a quarantine, which is the maximum lease time of the platform's store. */
    public static final long QUARANTINE_MILLIS = 600_000;

    static final long CRASH_RETENTION_MILLIS = 2 * QUARANTINE_MILLIS;
    /** How long a cleared request is remembered; longer than a report about it may be under way. */
    private static final long CLEARED_RETENTION_MILLIS = 30_000;
    /** Reports of a server's crash within this time are the same crash; shorter than a server's start. */
    private static final long SAME_CRASH_WINDOW_MILLIS = 2_000;
    /** Maximum number of suspects; those with the least evidence are evicted first. */
    static final int MAX_SUSPECTS = 512;
    /** Number of times that an update is reported, since datagrams may be lost. */
    private static final int REPORT_REPETITIONS = 3;

    static final int MAX_UPDATES_PER_REPORT = 32;
    /** Maximum number of refreshes in one report, for nodes that missed the updates. */
    static final int MAX_REFRESHES_PER_REPORT = 4;

    private static final Comparator<Map.Entry<RequestFingerprint, Suspect>> MOST_CRASHES_FIRST =
            Comparator.<Map.Entry<RequestFingerprint, Suspect>>comparingInt(
                            entry -> -entry.getValue().crashes.size())
                    .thenComparingInt(entry -> -entry.getValue().pendingReports);

    private final Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
    private final Deque<RequestFingerprint> refreshQueue = new ArrayDeque<>();

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

    private record Crash(int instanceHash, long atMillis) {
        /** Returns whether another report is about this crash. A later crash of the same server is a new one. */
        private boolean isSameCrash(int otherInstanceHash, long otherAtMillis) {
            return instanceHash == otherInstanceHash && Math.abs(atMillis - otherAtMillis) <= SAME_CRASH_WINDOW_MILLIS;
        }
    }

    private static final class Suspect {
        private final List<Crash> crashes = new ArrayList<>();

        private long clearedAtMillis = Long.MIN_VALUE;
        private long quarantinedUntilMillis = Long.MIN_VALUE;
        private int pendingReports;

        private void recordCrash(int instanceHash, long atMillis) {
            if (atMillis > clearedAtMillis
                    && crashes.stream().noneMatch(known -> known.isSameCrash(instanceHash, atMillis))) {
                crashes.add(new Crash(instanceHash, atMillis));
                crashes.sort(Comparator.comparingLong(Crash::atMillis));
            }
            if (crashes.size() > CRASHES_TO_QUARANTINE) {
                crashes.remove(0);
            }
            if (crashes.size() >= CRASHES_TO_QUARANTINE) {
                quarantinedUntilMillis = Math.max(quarantinedUntilMillis, newestCrashMillis() + QUARANTINE_MILLIS);
            }
        }

        private long newestCrashMillis() {
            return crashes.isEmpty()
                    ? Long.MIN_VALUE
                    : crashes.get(crashes.size() - 1).atMillis();
        }

        private void clearUntil(long atMillis) {
            clearedAtMillis = Math.max(clearedAtMillis, atMillis);
            crashes.removeIf(crash -> crash.atMillis() <= clearedAtMillis);
            if (crashes.size() < CRASHES_TO_QUARANTINE) {
                quarantinedUntilMillis = Long.MIN_VALUE;
            }
        }

        /** Returns whether a server completed the request after all crashes in an update. */
        private boolean clearedSince(Suspicion update, long nowMillis) {
            return clearedAtMillis != Long.MIN_VALUE
                    && update.crashes().stream().noneMatch(crash -> nowMillis - crash.ageMillis() > clearedAtMillis);
        }

        private boolean isQuarantined(long nowMillis) {
            return nowMillis < quarantinedUntilMillis;
        }

        private boolean isExpired(long nowMillis) {
            crashes.removeIf(crash -> nowMillis - crash.atMillis() > CRASH_RETENTION_MILLIS);
            return crashes.isEmpty()
                    && !isQuarantined(nowMillis)
                    && (clearedAtMillis == Long.MIN_VALUE || nowMillis - clearedAtMillis > CLEARED_RETENTION_MILLIS);
        }

        private Suspicion toSuspicion(RequestFingerprint request, long nowMillis) {
            return new Suspicion(
                    request,
                    crashes.stream()
                            .map(crash -> new CrashReport(crash.instanceHash(), nowMillis - crash.atMillis()))
                            .toList(),
                    clearedAtMillis == Long.MIN_VALUE ? Optional.empty() : Optional.of(nowMillis - clearedAtMillis),
                    isQuarantined(nowMillis) ? quarantinedUntilMillis - nowMillis : 0);
        }
    }

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
        Suspect suspect = suspects.get(request);
        return suspect != null && suspect.isQuarantined(nowMillis)
                ? OptionalLong.of(suspect.quarantinedUntilMillis - nowMillis)
                : OptionalLong.empty();
    }

    /** Returns the quarantined requests. */
    public List<RequestFingerprint> quarantined(long nowMillis) {
        return suspects.entrySet().stream()
                .filter(suspect -> suspect.getValue().isQuarantined(nowMillis))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Records that a server crashed while a request was in flight there.
     *
     * @param instanceId id of the server's instance
     * @return whether the request is newly quarantined
     */
    public boolean recordCrash(RequestFingerprint request, String instanceId, long nowMillis) {
        Suspect suspect = suspect(request);
        boolean wasQuarantined = suspect.isQuarantined(nowMillis);
        suspect.recordCrash(instanceId.hashCode(), nowMillis);
        suspect.pendingReports = REPORT_REPETITIONS;
        return suspect.isQuarantined(nowMillis) && !wasQuarantined;
    }

    /** Records that a server completed a request; returns whether the request was suspected. */
    public boolean recordCompletedRun(RequestFingerprint request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect == null || suspect.crashes.isEmpty()) {
            return false;
        }
        suspect.clearUntil(nowMillis);
        suspect.pendingReports = REPORT_REPETITIONS;
        return true;
    }

    /** Restores a quarantine read from the platform's store; returns whether it was not known here. */
    public boolean restore(RequestFingerprint request, long nowMillis) {
        Suspect suspect = suspect(request);
        boolean wasQuarantined = suspect.isQuarantined(nowMillis);
        suspect.quarantinedUntilMillis = Math.max(suspect.quarantinedUntilMillis, nowMillis + QUARANTINE_MILLIS);
        return !wasQuarantined;
    }

    /** Merges a report from another node; returns whether the request is newly quarantined. */
    public boolean merge(Suspicion update, long nowMillis) {
        Suspect suspect = suspect(update.request());
        boolean wasQuarantined = suspect.isQuarantined(nowMillis);
        update.clearedAgeMillis().ifPresent(ageMillis -> suspect.clearUntil(nowMillis - ageMillis));
        update.crashes().forEach(crash -> suspect.recordCrash(crash.instanceHash(), nowMillis - crash.ageMillis()));
        if (update.remainingMillis() > 0 && !suspect.clearedSince(update, nowMillis)) {
            suspect.quarantinedUntilMillis = Math.max(
                    suspect.quarantinedUntilMillis, nowMillis + Math.min(QUARANTINE_MILLIS, update.remainingMillis()));
        }
        return suspect.isQuarantined(nowMillis) && !wasQuarantined;
    }

    private Suspect suspect(RequestFingerprint request) {
        Suspect known = suspects.get(request);
        if (known != null) {
            return known;
        }
        if (suspects.size() >= MAX_SUSPECTS) {
            suspects.entrySet().stream()
                    .min(Comparator.<Map.Entry<RequestFingerprint, Suspect>>comparingLong(
                                    entry -> entry.getValue().quarantinedUntilMillis)
                            .thenComparingInt(entry -> entry.getValue().crashes.size())
                            .thenComparingLong(entry -> entry.getValue().newestCrashMillis()))
                    .ifPresent(weakest -> suspects.remove(weakest.getKey()));
        }
        Suspect added = new Suspect();
        suspects.put(request, added);
        return added;
    }

    /** Removes expired suspects. */
    public void evictExpired(long nowMillis) {
        suspects.values().removeIf(suspect -> suspect.isExpired(nowMillis));
    }

    /** Returns the updates to be reported now, those with the most crashes first. */
    public List<Suspicion> pendingUpdates(long nowMillis) {
        List<Map.Entry<RequestFingerprint, Suspect>> unreported = new ArrayList<>();
        for (Map.Entry<RequestFingerprint, Suspect> entry : suspects.entrySet()) {
            if (entry.getValue().pendingReports > 0) {
                unreported.add(entry);
            }
        }
        unreported.sort(MOST_CRASHES_FIRST);
        List<Suspicion> updates = new ArrayList<>();
        for (Map.Entry<RequestFingerprint, Suspect> entry :
                unreported.subList(0, Math.min(MAX_UPDATES_PER_REPORT, unreported.size()))) {
            entry.getValue().pendingReports--;
            updates.add(entry.getValue().toSuspicion(entry.getKey(), nowMillis));
        }
        return updates;
    }

    /** Returns the next suspects with several crashes or a quarantine, in rotation, for nodes that missed the updates. */
    public List<Suspicion> nextRefreshes(long nowMillis) {
        if (refreshQueue.isEmpty()) {
            suspects.forEach((request, suspect) -> {
                if (suspect.isQuarantined(nowMillis) || suspect.crashes.size() > 1) {
                    refreshQueue.add(request);
                }
            });
        }
        List<Suspicion> refreshes = new ArrayList<>();
        while (refreshes.size() < MAX_REFRESHES_PER_REPORT && !refreshQueue.isEmpty()) {
            RequestFingerprint request = refreshQueue.poll();
            Suspect suspect = suspects.get(request);
            if (suspect != null) {
                refreshes.add(suspect.toSuspicion(request, nowMillis));
            }
        }
        return refreshes;
    }
}
