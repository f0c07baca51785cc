package org.tanagerhinge.core.attempt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.tanagerhinge.core.attempt.SuspectTable.Crash;

/**
 * Finds the parts of prompts that crash the servers on which they run, and quarantines the requests with them.
 *
 * <p>Different requests share parts, so a crash makes suspects of all parts that were in flight there, although one of
 * them at most is at fault. A sound run clears the parts of its prompt: a server goes on with the answer, or stays up
 * after it. It clears them of earlier crashes, and of those within {@link #SOUND_MILLIS} after it. Among the others,
 * {@link CulpritSearch} finds the parts at fault.
 *
 * <p>Parts that were in flight at just the same crashes can't be told apart; a request is refused only if it has all of
 * them, so that requests with some can clear these.
 *
 * <p>Nodes report suspicions and sound runs to each other. The number of suspects is bounded, and they expire as those
 * of {@link RequestQuarantine} do.
 */
public final class PartQuarantine {
    /** Number of crashes that quarantine a part; one or two may coincide with an unrelated part. */
    static final int CRASHES_TO_QUARANTINE = 3;
    /**
     * Share of the latest prompts up to which a part stays quarantined although others explain its crashes as well. One
     * that is released so would crash servers again.
     */
    private static final double RARE_SHARE = 0.25;
    /** Time without a crash after which one request may show that a quarantined part is sound. */
    static final long TRIAL_DELAY_MILLIS = SuspectTable.TRIAL_DELAY_MILLIS;
    /** Time for which an answer must go on, or its server stay up after it, to show that the prompt's parts are sound. */
    public static final long SOUND_RUN_MILLIS = 500;
    /**
     * Time after a sound run for which crashes don't count against its parts. Without it, parts that all prompts share
     * would be quarantined when all servers crash together.
     */
    static final long SOUND_MILLIS = 5_000;

    /** Number of parts of one prompt that are considered. */
    public static final int MAX_PARTS_PER_PROMPT = 128;

    static final int MAX_SUSPECTS = 2_048;
    /** Number of crashes that are kept of one suspect. */
    static final int MAX_CRASHES = 8;

    private static final int MAX_SOUND_PARTS = 4_096;
    private static final int MAX_SOUND_RUNS = 64;
    static final int MAX_UPDATES_PER_REPORT = 30;
    /** Maximum number of refreshes in one report, for nodes that missed the updates. */
    static final int MAX_REFRESHES_PER_REPORT = 4;

    private final SuspectTable<PartId> suspects = new SuspectTable<>(MAX_SUSPECTS, MAX_CRASHES);
    private final Map<PartId, Long> soundAtMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<PartId, Long> eldest) {
            return size() > MAX_SOUND_PARTS;
        }
    };
    private final PartFrequency frequency = new PartFrequency();
    /** Latest sound runs, newest last. */
    private final Deque<SoundRun> soundRuns = new ArrayDeque<>();

    private List<Culprit> culprits = List.of();
    private boolean evidenceChanged;

    private PartQuarantine() {}

    /** Creates an empty quarantine. */
    public static PartQuarantine create() {
        return new PartQuarantine();
    }

    /**
     * Reports a server crash that a part may have caused.
     *
     * @param instanceHash hash of the server's instance id
     * @param requestHash hash of the request that was in flight there with the part
     * @param ageMillis time since the crash
     */
    public record PartCrash(int instanceHash, int requestHash, long ageMillis) {}

    /**
     * Reports to another node what is known of a suspected part.
     *
     * @param crashes the newest crashes of servers at which it was in flight
     * @param soundAgeMillis time since a run has shown it to be sound; empty if none did
     * @param remainingMillis remaining time of a quarantine that only a sound run ends; 0 if it is in none
     */
    public record Suspicion(
            PartId part, List<PartCrash> crashes, Optional<Long> soundAgeMillis, long remainingMillis) {}

    /**
     * Parts of which one crashes servers.
     *
     * @param parts one part, or several that were in flight at the same crashes
     * @param crashCount number of these crashes; 0 if it is known from the platform's store
     */
    public record Culprit(Set<PartId> parts, int crashCount, long untilMillis) {
        /** Returns the part at fault; empty if the evidence doesn't tell which it is. */
        public Optional<PartId> single() {
            return parts.size() == 1 ? Optional.of(parts.iterator().next()) : Optional.empty();
        }
    }

    /** A run that showed the parts of its prompt to be sound. */
    record SoundRun(List<PartId> parts, long atMillis) {}

    /** Records the parts of a prompt that has arrived, whether or not it is sent. */
    public void recordArrival(List<PartId> parts) {
        if (!parts.isEmpty()) {
            frequency.record(parts);
        }
    }

    /** Returns whether there are no suspects. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns the number of suspects. */
    public int size() {
        return suspects.size();
    }

    /** Returns the number of known crashes at which a part was in flight, since it was last cleared. */
    public int crashCount(PartId part) {
        SuspectTable<PartId>.Suspect suspect = suspects.find(part);
        return suspect == null ? 0 : suspect.crashes().size();
    }

    /** Returns what quarantines a request with these parts; empty if it may be sent. */
    public Optional<Culprit> culpritAmong(List<PartId> parts, long nowMillis) {
        if (suspects.isEmpty() || parts.isEmpty()) {
            return Optional.empty();
        }
        for (PartId part : parts) {
            SuspectTable<PartId>.Suspect suspect = suspects.find(part);
            if (suspect != null && suspect.isQuarantined(nowMillis)) {
                return Optional.of(
                        new Culprit(Set.of(part), suspect.crashes().size(), suspect.quarantinedUntilMillis()));
            }
        }
        return culprits().stream()
                .filter(culprit -> culprit.untilMillis() > nowMillis && parts.containsAll(culprit.parts()))
                .findFirst();
    }

    /** Returns the culprits that the known crashes point to, and those that are known from the platform's store. */
    public List<Culprit> culprits() {
        if (evidenceChanged) {
            evidenceChanged = false;
            culprits = new CulpritSearch(suspects, frequency, soundRuns).culprits();
            for (Culprit culprit : culprits) {
                culprit.single()
                        .filter(part -> frequency.share(part) <= RARE_SHARE)
                        .ifPresent(part -> suspects.find(part).quarantineUntil(culprit.untilMillis()));
            }
        }
        return culprits;
    }

    /**
     * Returns whether a request may be sent although one of its parts is quarantined, to show that the part is sound.
     * One trial at a time is in progress, and none follows one that has crashed its server. At most one node should ask.
     *
     * @param unknownSinceMillis time since which this node can't know which parts run well: those with crashes after it
     *     have a trial although it knows no sound run of them; the largest number if it can
     */
    public boolean takeTrial(Culprit culprit, long unknownSinceMillis, long nowMillis) {
        OptionalLong fromMillis = trialFromMillis(culprit, unknownSinceMillis);
        return fromMillis.isPresent()
                && fromMillis.getAsLong() <= nowMillis
                && culprit.parts().stream().allMatch(part -> takeTrial(part, nowMillis));
    }

    /**
     * Returns the time from which a request may be sent to show that quarantined parts are sound; empty if there is no
     * reason to doubt that they are at fault: none of them has ever run well, as far as is known.
     *
     * @param unknownSinceMillis as for {@link #takeTrial}
     */
    public OptionalLong trialFromMillis(Culprit culprit, long unknownSinceMillis) {
        long fromMillis = Long.MIN_VALUE;
        for (PartId part : culprit.parts()) {
            SuspectTable<PartId>.Suspect suspect = suspects.find(part);
            if (suspect == null || !(isDoubtful(part) || suspect.newestCrashMillis() > unknownSinceMillis)) {
                return OptionalLong.empty();
            }
            fromMillis = Math.max(fromMillis, suspect.trialFromMillis());
        }
        return OptionalLong.of(fromMillis);
    }

    /** Begins the trial of one part; returns false if it may not begin yet. */
    public boolean takeTrial(PartId part, long nowMillis) {
        SuspectTable<PartId>.Suspect suspect = suspects.find(part);
        return suspect != null && suspect.takeTrial(nowMillis);
    }

    /** Ends the trial of a part that has shown nothing; the next one may begin at a time. */
    public void endTrial(PartId part, long nextMillis) {
        SuspectTable<PartId>.Suspect suspect = suspects.find(part);
        if (suspect != null) {
            suspect.endTrial(nextMillis);
        }
    }

    /** Returns whether a part has run well before its crashes, so that it may be quarantined by mistake. */
    public boolean isDoubtful(PartId part) {
        SuspectTable<PartId>.Suspect suspect = suspects.find(part);
        return soundAtMillis.containsKey(part) || (suspect != null && suspect.doubtful());
    }

    /** Returns the parts that are quarantined by themselves. */
    public List<PartId> quarantined(long nowMillis) {
        Set<PartId> parts = new HashSet<>(suspects.quarantined(nowMillis));
        culprits().stream()
                .filter(culprit -> culprit.untilMillis() > nowMillis)
                .forEach(culprit -> culprit.single().ifPresent(parts::add));
        return List.copyOf(parts);
    }

    /** Records that a server crashed while a run with these parts was in flight there. */
    public void recordCrash(SuspectRun run, String instanceId, long nowMillis) {
        for (PartId part : run.parts()) {
            if (soundUntilMillis(part) >= nowMillis) {
                continue;
            }
            SuspectTable<PartId>.Suspect suspect = suspects.findOrAdd(part);
            evidenceChanged |= suspect.addCrash(
                    new Crash(instanceId.hashCode(), run.request().hashCode(), nowMillis));
            suspect.report();
            renew(suspect, nowMillis);
        }
    }

    /** Renews a quarantine, which may have expired, after one more crash. */
    private static void renew(SuspectTable<PartId>.Suspect suspect, long crashMillis) {
        if (suspect.quarantinedUntilMillis() != Long.MIN_VALUE) {
            suspect.quarantineUntil(crashMillis + RequestQuarantine.QUARANTINE_MILLIS);
        }
    }

    /** A part that was suspected of several crashes, or quarantined, and has been shown to be sound. */
    public record Cleared(PartId part, boolean wasQuarantined) {}

    /** Records a run that shows these parts to be sound; returns those that it clears of several crashes. */
    public List<Cleared> recordSoundRun(List<PartId> parts, long nowMillis) {
        List<Cleared> cleared = new ArrayList<>();
        soundRuns.addLast(new SoundRun(parts, nowMillis));
        if (soundRuns.size() > MAX_SOUND_RUNS) {
            soundRuns.removeFirst();
        }
        for (PartId part : parts) {
            rememberSound(part, nowMillis);
            SuspectTable<PartId>.Suspect suspect = suspects.find(part);
            if (suspect != null && (!suspect.crashes().isEmpty() || suspect.isQuarantined(nowMillis))) {
                boolean wasQuarantined = culpritAmong(List.of(part), nowMillis).isPresent();
                if (suspect.crashes().size() > 1 || wasQuarantined) {
                    cleared.add(new Cleared(part, wasQuarantined));
                }
                clear(part, suspect);
                suspect.report();
            }
        }
        return cleared;
    }

    private void rememberSound(PartId part, long atMillis) {
        Long known = soundAtMillis.remove(part);
        soundAtMillis.put(part, known == null ? atMillis : Math.max(known, atMillis));
    }

    private long soundUntilMillis(PartId part) {
        Long atMillis = soundAtMillis.get(part);
        return atMillis == null ? Long.MIN_VALUE : atMillis + SOUND_MILLIS;
    }

    private void clear(PartId part, SuspectTable<PartId>.Suspect suspect) {
        suspect.clearUntil(soundUntilMillis(part));
        suspect.endQuarantine();
        evidenceChanged = true;
    }

    /** Restores a quarantine read from the platform's store. */
    public void restore(PartId part, long nowMillis) {
        restore(part, false, nowMillis);
    }

    /**
     * Restores a quarantine read from the platform's store.
     *
     * @param doubtful whether a trial may show that the part is sound, since it once ran well
     */
    public void restore(PartId part, boolean doubtful, long nowMillis) {
        suspects.findOrAdd(part).restore(doubtful, nowMillis);
        evidenceChanged = true;
    }

    /** Merges a report from another node; returns whether the part has been cleared of several crashes by it. */
    public boolean merge(Suspicion update, long nowMillis) {
        update.soundAgeMillis().ifPresent(ageMillis -> rememberSound(update.part(), nowMillis - ageMillis));
        if (suspects.find(update.part()) == null && update.crashes().isEmpty() && update.remainingMillis() == 0) {
            return false;
        }
        SuspectTable<PartId>.Suspect suspect = suspects.findOrAdd(update.part());
        boolean wasSuspected = suspect.crashes().size() > 1 || suspect.isQuarantined(nowMillis);
        suspect.clearUntil(soundUntilMillis(update.part()));
        for (PartCrash crash : update.crashes()) {
            long atMillis = nowMillis - crash.ageMillis();
            if (suspect.addCrash(new Crash(crash.instanceHash(), crash.requestHash(), atMillis))) {
                renew(suspect, atMillis);
            }
        }
        evidenceChanged = true;
        if (!soundSince(update, nowMillis)) {
            if (update.remainingMillis() > 0) {
                suspect.quarantineUntil(
                        nowMillis + Math.min(RequestQuarantine.QUARANTINE_MILLIS, update.remainingMillis()));
            }
            return false;
        }
        suspect.endQuarantine();
        if (update.soundAgeMillis().isEmpty() && (update.crashes().size() > 1 || update.remainingMillis() > 0)) {
            suspect.report();
        }
        return wasSuspected && suspect.crashes().isEmpty();
    }

    /** Returns whether the part has been shown to be sound since the evidence in an update. */
    private boolean soundSince(Suspicion update, long nowMillis) {
        long quarantinedAtMillis = nowMillis - (RequestQuarantine.QUARANTINE_MILLIS - update.remainingMillis());
        long newestMillis = update.crashes().stream()
                .mapToLong(crash -> nowMillis - crash.ageMillis())
                .max()
                .orElse(quarantinedAtMillis);
        return soundUntilMillis(update.part()) >= newestMillis;
    }

    /** Removes expired suspects, and has the others judged anew, since frequencies change. */
    public void evictExpired(long nowMillis) {
        suspects.evictExpired(nowMillis);
        evidenceChanged = true;
    }

    /** Returns the updates to be reported now, those with the most crashes first. */
    public List<Suspicion> pendingUpdates(long nowMillis) {
        return suspects.takePendingUpdates(MAX_UPDATES_PER_REPORT).stream()
                .map(part -> toSuspicion(part, nowMillis))
                .toList();
    }

    /** Returns the next suspects with several crashes or a quarantine, in rotation, for nodes that missed the updates. */
    public List<Suspicion> nextRefreshes(long nowMillis) {
        return suspects.takeRefreshes(MAX_REFRESHES_PER_REPORT, nowMillis).stream()
                .map(part -> toSuspicion(part, nowMillis))
                .toList();
    }

    private Suspicion toSuspicion(PartId part, long nowMillis) {
        SuspectTable<PartId>.Suspect suspect = suspects.find(part);
        return new Suspicion(
                part,
                suspect.crashes().stream()
                        .map(crash -> new PartCrash(
                                crash.instanceHash(), crash.requestHash(), Math.max(0, nowMillis - crash.atMillis())))
                        .toList(),
                Optional.ofNullable(soundAtMillis.get(part)).map(atMillis -> nowMillis - atMillis),
                suspect.isQuarantined(nowMillis) ? suspect.quarantinedUntilMillis() - nowMillis : 0);
    }
}
