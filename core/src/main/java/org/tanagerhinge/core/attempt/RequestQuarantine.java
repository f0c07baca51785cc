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
 * Requests under which servers have ended, and which of them are sent no more for now.
 *
 * <p>Answers the load pattern of a request that ends each server that begins to run it and comes again and again: each end
 * takes everything else that runs there with it, and servers end faster than they come back. Who stands beside such a request
 * is suspected as well, once for each end; a request that a server runs to its end isn't the cause, whatever it was beside, so
 * that clears it. Three different servers that ended under a request without that put it into quarantine.
 *
 * <p>Each node tells the others what it saw. What is told and kept is bounded and lapses: suspicions after {@link
 * #REMEMBER_MILLIS}, a quarantine after {@link #HOLD_MILLIS}, after which one more end brings it back.
 */
public final class RequestQuarantine {
    /** Servers that must have ended under a request: two may end beside a request that has nothing to do with it. */
    static final int CRASHES_TO_QUARANTINE = 3;
    /** How long a request is sent no more: as long as the platform's store keeps a lease at the most, in milliseconds. */
    public static final long QUARANTINE_MILLIS = 600_000;
    /** How long an end is held against a request, in milliseconds. */
    static final long CRASH_RETENTION_MILLIS = 2 * QUARANTINE_MILLIS;
    /** How long it is remembered that a request was cleared: longer than a suspicion is under way, in milliseconds. */
    private static final long CLEARED_RETENTION_MILLIS = 30_000;
    /** Nodes see one end of a server within this time of each other, in milliseconds: less than a start takes. */
    private static final long SAME_CRASH_WINDOW_MILLIS = 2_000;
    /** Requests that are suspected at the most; the least suspected ones make room. */
    static final int MAX_SUSPECTS = 512;
    /** How often news is told: datagrams are lost. */
    private static final int REPORT_REPETITIONS = 3;
    /** News in one report at the most. */
    static final int MAX_UPDATES_PER_REPORT = 32;
    /** What is told again for nodes that have come later, in one report at the most. */
    static final int MAX_REFRESHES_PER_REPORT = 4;

    private static final Comparator<Map.Entry<RequestFingerprint, Suspect>> MOST_CRASHES_FIRST =
            Comparator.<Map.Entry<RequestFingerprint, Suspect>>comparingInt(
                            entry -> -entry.getValue().crashes.size())
                    .thenComparingInt(entry -> -entry.getValue().pendingReports);

    private final Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
    private final Deque<RequestFingerprint> refreshQueue = new ArrayDeque<>();

    private RequestQuarantine() {}

    /** Returns a quarantine that suspects nobody. */
    public static RequestQuarantine create() {
        return new RequestQuarantine();
    }

    /**
     * The end of a server under a request.
     *
     * @param server hash of the name of the server's life
     * @param ageMillis how long ago it was
     */
    public record CrashReport(int instanceHash, long ageMillis) {}

    /**
     * What one node tells another of a request.
     *
     * @param ends servers that ended under it, the newest ones
     * @param clearedMillis how long ago a server ran it to its end
     * @param heldMillis how long it is to be sent no more; 0 if it may be sent
     */
    public record Suspicion(
            RequestFingerprint request,
            List<CrashReport> crashes,
            Optional<Long> clearedAgeMillis,
            long remainingMillis) {}

    /** A server's end at a time of this node's clock. */
    private record Crash(int instanceHash, long atMillis) {
        /** A server doesn't end twice in a moment; one that ends again later was started in between. */
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

        /** Returns whether a server ran the request to its end after all that another node tells of it. */
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

    /** Returns whether nothing is known of any request, so that none needs to be looked up. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns how many requests are known of. */
    public int size() {
        return suspects.size();
    }

    /** Returns for how long a request is to be sent no more, in milliseconds; nothing if it may be sent. */
    public OptionalLong remainingMillis(RequestFingerprint request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        return suspect != null && suspect.isQuarantined(nowMillis)
                ? OptionalLong.of(suspect.quarantinedUntilMillis - nowMillis)
                : OptionalLong.empty();
    }

    /**
     * Notes that a server has ended while a request was in progress there.
     *
     * @param life name of the server's life
     * @return whether the request is sent no more from now on, and was before
     */
    public boolean recordCrash(RequestFingerprint request, String instanceId, long nowMillis) {
        Suspect suspect = suspect(request);
        boolean wasQuarantined = suspect.isQuarantined(nowMillis);
        suspect.recordCrash(instanceId.hashCode(), nowMillis);
        suspect.pendingReports = REPORT_REPETITIONS;
        return suspect.isQuarantined(nowMillis) && !wasQuarantined;
    }

    /** Notes that a server has run a request to its end; returns whether it was suspected. */
    public boolean recordCompletedRun(RequestFingerprint request, long nowMillis) {
        Suspect suspect = suspects.get(request);
        if (suspect == null || suspect.crashes.isEmpty()) {
            return false;
        }
        suspect.clearUntil(nowMillis);
        suspect.pendingReports = REPORT_REPETITIONS;
        return true;
    }

    /** Takes a quarantine that outlasted the nodes that began it; returns whether it wasn't known. */
    public boolean restore(RequestFingerprint request, long nowMillis) {
        Suspect suspect = suspect(request);
        boolean wasQuarantined = suspect.isQuarantined(nowMillis);
        suspect.quarantinedUntilMillis = Math.max(suspect.quarantinedUntilMillis, nowMillis + QUARANTINE_MILLIS);
        return !wasQuarantined;
    }

    /** Takes what another node tells; returns whether the request is sent no more from now on, and was before. */
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

    /** Forgets what has lapsed. */
    public void evictExpired(long nowMillis) {
        suspects.values().removeIf(suspect -> suspect.isExpired(nowMillis));
    }

    /** Returns what was seen here since it was told last, to be told now; what is suspected most goes first. */
    public List<Suspicion> pendingUpdates(long nowMillis) {
        List<Map.Entry<RequestFingerprint, Suspect>> unreported = new ArrayList<>();
        for (Map.Entry<RequestFingerprint, Suspect> suspect : suspects.entrySet()) {
            if (suspect.getValue().pendingReports > 0) {
                unreported.add(suspect);
            }
        }
        unreported.sort(MOST_CRASHES_FIRST);
        List<Suspicion> updates = new ArrayList<>();
        for (Map.Entry<RequestFingerprint, Suspect> suspect :
                unreported.subList(0, Math.min(MAX_UPDATES_PER_REPORT, unreported.size()))) {
            suspect.getValue().pendingReports--;
            updates.add(suspect.getValue().toSuspicion(suspect.getKey(), nowMillis));
        }
        return updates;
    }

    /**
     * Returns a few of the requests that are held or were beside more than one end, each in its turn: whoever has started since,
     * or was cut off, has to learn of them.
     */
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
