package org.tanagerhinge.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Holds what may have crashed servers, with the crashes at which it was in flight, and selects what to report to other
 * nodes.
 *
 * <p>The number of suspects is bounded; those with the least evidence are evicted first.
 *
 * @param <K> identifies a suspect
 */
final class SuspectTable<K> {
    /** Number of times that an update is reported, since datagrams may be lost. */
    private static final int REPORT_REPETITIONS = 3;
    /** How long a cleared suspect is remembered; longer than a report about it may be under way. */
    private static final long CLEARED_RETENTION_MILLIS = 30_000;
    /** Reports of a server's crash within this time are the same crash; shorter than a server's start. */
    private static final long SAME_CRASH_WINDOW_MILLIS = 2_000;
    /** Time after the newest crash, or after a trial that has shown nothing, before which no trial begins. */
    static final long TRIAL_DELAY_MILLIS = 5_000;
    /** Time after which a trial counts as ended whose end was not noticed. */
    static final long TRIAL_TIMEOUT_MILLIS = 60_000;
    /** Long before any time, and far enough from the smallest number that differences don't overflow. */
    private static final long EVER_SINCE_MILLIS = Long.MIN_VALUE / 2;

    private final int maxSuspects;
    private final int maxCrashes;
    private final Map<K, Suspect> suspects = new HashMap<>();
    private final Deque<K> refreshQueue = new ArrayDeque<>();

    /**
     * Creates an empty table.
     *
     * @param maxCrashes number of crashes that are kept of one suspect, the newest ones
     */
    SuspectTable(int maxSuspects, int maxCrashes) {
        this.maxSuspects = maxSuspects;
        this.maxCrashes = maxCrashes;
    }

    /**
     * The crash of a server.
     *
     * @param instanceHash hash of the server's instance id
     * @param requestHash hash of the request that was in flight there with the suspect
     */
    record Crash(int instanceHash, int requestHash, long atMillis) {
        /** Returns whether another report is about this crash. A later crash of the same server is a new one. */
        boolean isSameAs(Crash other) {
            return instanceHash == other.instanceHash
                    && Math.abs(atMillis - other.atMillis) <= SAME_CRASH_WINDOW_MILLIS;
        }
    }

    /** What is known of one suspect. */
    final class Suspect {
        private final List<Crash> crashes = new ArrayList<>();
        private long clearedUntilMillis = Long.MIN_VALUE;
        private long quarantinedUntilMillis = Long.MIN_VALUE;
        private boolean doubtful;
        private boolean trialInProgress;
        private long noTrialUntilMillis = EVER_SINCE_MILLIS;
        private int pendingReports;

        /** Returns the known crashes since it was last cleared, oldest first. */
        List<Crash> crashes() {
            return crashes;
        }

        /** Adds a crash unless it is known or precedes the last clearing; returns whether it was added. */
        boolean addCrash(Crash crash) {
            if (crash.atMillis() <= clearedUntilMillis || crashes.stream().anyMatch(crash::isSameAs)) {
                return false;
            }
            noteFailedTrial(crash);
            crashes.add(crash);
            crashes.sort(Comparator.comparingLong(Crash::atMillis));
            if (crashes.size() > maxCrashes) {
                crashes.remove(0);
            }
            return true;
        }

        /** Excludes further trials after a crash that only a trial, of this node or another one, can have led to. */
        private void noteFailedTrial(Crash crash) {
            boolean held = doubtful || crashes.size() >= RequestQuarantine.CRASHES_TO_QUARANTINE;
            if (trialInProgress || (held && crash.atMillis() >= newestCrashMillis() + TRIAL_DELAY_MILLIS)) {
                noTrialUntilMillis = crash.atMillis() + RequestQuarantine.QUARANTINE_MILLIS;
            }
            trialInProgress = false;
            doubtful = false;
        }

        /** Removes the crashes up to a time. */
        void clearUntil(long millis) {
            clearedUntilMillis = Math.max(clearedUntilMillis, millis);
            crashes.removeIf(crash -> crash.atMillis() <= clearedUntilMillis);
        }

        /** Returns the time up to which crashes don't count; the smallest number if it was never cleared. */
        long clearedUntilMillis() {
            return clearedUntilMillis;
        }

        long newestCrashMillis() {
            return crashes.isEmpty()
                    ? Long.MIN_VALUE
                    : crashes.get(crashes.size() - 1).atMillis();
        }

        void quarantineUntil(long millis) {
            quarantinedUntilMillis = Math.max(quarantinedUntilMillis, millis);
        }

        void endQuarantine() {
            quarantinedUntilMillis = Long.MIN_VALUE;
            doubtful = false;
        }

        /** Restores a quarantine that is known from the platform's store; a doubtful one may have a trial. */
        void restore(boolean isDoubtful, long nowMillis) {
            quarantineUntil(nowMillis + RequestQuarantine.QUARANTINE_MILLIS);
            if (isDoubtful && !doubtful && crashes.isEmpty()) {
                doubtful = true;
                noTrialUntilMillis = nowMillis + TRIAL_DELAY_MILLIS;
            }
        }

        /** Returns whether the store's quarantine was doubtful, and nothing is known of crashes since. */
        boolean doubtful() {
            return doubtful;
        }

        /** Returns the time from which a trial may begin. */
        long trialFromMillis() {
            long afterCrashes = crashes.isEmpty() ? EVER_SINCE_MILLIS : newestCrashMillis() + TRIAL_DELAY_MILLIS;
            return Math.max(afterCrashes, noTrialUntilMillis);
        }

        /** Begins a trial; returns false if it may not begin yet. */
        boolean takeTrial(long nowMillis) {
            if (nowMillis < trialFromMillis()) {
                return false;
            }
            trialInProgress = true;
            noTrialUntilMillis = nowMillis + TRIAL_TIMEOUT_MILLIS;
            return true;
        }

        /** Ends a trial that has shown nothing; the next one may begin at a time. */
        void endTrial(long nextMillis) {
            if (trialInProgress) {
                trialInProgress = false;
                noTrialUntilMillis = nextMillis;
            }
        }

        long quarantinedUntilMillis() {
            return quarantinedUntilMillis;
        }

        boolean isQuarantined(long nowMillis) {
            return nowMillis < quarantinedUntilMillis;
        }

        /** Has this suspect reported to the other nodes. */
        void report() {
            pendingReports = REPORT_REPETITIONS;
        }

        private boolean isExpired(long nowMillis) {
            crashes.removeIf(crash -> nowMillis - crash.atMillis() > RequestQuarantine.CRASH_RETENTION_MILLIS);
            return crashes.isEmpty()
                    && !isQuarantined(nowMillis)
                    && (clearedUntilMillis == Long.MIN_VALUE
                            || nowMillis - clearedUntilMillis > CLEARED_RETENTION_MILLIS);
        }
    }

    boolean isEmpty() {
        return suspects.isEmpty();
    }

    int size() {
        return suspects.size();
    }

    /** Returns a suspect, or null if it is none. */
    Suspect find(K key) {
        return suspects.get(key);
    }

    /** Returns a suspect, which is added if it is none yet. */
    Suspect findOrAdd(K key) {
        Suspect known = suspects.get(key);
        if (known != null) {
            return known;
        }
        if (suspects.size() >= maxSuspects) {
            suspects.entrySet().stream()
                    .min(Comparator.<Map.Entry<K, Suspect>>comparingLong(
                                    entry -> entry.getValue().quarantinedUntilMillis)
                            .thenComparingInt(entry -> entry.getValue().crashes.size())
                            .thenComparingLong(entry -> entry.getValue().newestCrashMillis()))
                    .ifPresent(weakest -> suspects.remove(weakest.getKey()));
        }
        Suspect added = new Suspect();
        suspects.put(key, added);
        return added;
    }

    void forEach(BiConsumer<K, Suspect> action) {
        suspects.forEach(action);
    }

    /** Returns the quarantined suspects. */
    List<K> quarantined(long nowMillis) {
        return suspects.entrySet().stream()
                .filter(suspect -> suspect.getValue().isQuarantined(nowMillis))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Removes expired suspects; returns whether there were any. */
    boolean evictExpired(long nowMillis) {
        return suspects.values().removeIf(suspect -> suspect.isExpired(nowMillis));
    }

    /** Takes the updates to be reported now, those with the most crashes first. */
    List<K> takePendingUpdates(int max) {
        List<Map.Entry<K, Suspect>> unreported = new ArrayList<>();
        for (Map.Entry<K, Suspect> entry : suspects.entrySet()) {
            if (entry.getValue().pendingReports > 0) {
                unreported.add(entry);
            }
        }
        unreported.sort(Comparator.<Map.Entry<K, Suspect>>comparingInt(
                        entry -> -entry.getValue().crashes.size())
                .thenComparingInt(entry -> entry.getValue().pendingReports));
        List<K> updates = new ArrayList<>();
        for (Map.Entry<K, Suspect> entry : unreported.subList(0, Math.min(max, unreported.size()))) {
            entry.getValue().pendingReports--;
            updates.add(entry.getKey());
        }
        return updates;
    }

    /** Takes the next suspects with several crashes or a quarantine, in rotation, for nodes that missed the updates. */
    List<K> takeRefreshes(int max, long nowMillis) {
        if (refreshQueue.isEmpty()) {
            suspects.forEach((key, suspect) -> {
                if (suspect.isQuarantined(nowMillis) || suspect.crashes.size() > 1) {
                    refreshQueue.add(key);
                }
            });
        }
        List<K> refreshes = new ArrayList<>();
        while (refreshes.size() < max && !refreshQueue.isEmpty()) {
            K key = refreshQueue.poll();
            if (suspects.containsKey(key)) {
                refreshes.add(key);
            }
        }
        return refreshes;
    }
}
