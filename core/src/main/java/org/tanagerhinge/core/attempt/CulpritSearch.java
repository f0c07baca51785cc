package org.tanagerhinge.core.attempt;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagerhinge.core.attempt.SuspectTable.Crash;

/**
 * Finds the parts of prompts that explain the crashes at which they were in flight.
 *
 * <p>Each crash counts for the part that was in flight at most crashes, parts that are quarantined already going first.
 * Not every suspect counts:
 *
 * <ul>
 *   <li>retries of one request are no evidence against the parts of its prompt;
 *   <li>a part that came with a rarer suspect in the same request isn't suspected for it;
 *   <li>a part of most prompts is in flight wherever a server crashes, so it is suspected only of crashes without a
 *       rarer suspect, or if prompts without it run well.
 * </ul>
 */
final class CulpritSearch {
    /** Share of the latest prompts above which a part is one of most prompts. */
    private static final double DOMINANT_SHARE = 0.5;
    /** Number of sound runs without a part, since its first crash, that count as prompts without it running well. */
    private static final int MIN_SOUND_RUNS_WITHOUT = 3;
    /** Number of different requests that must have been in flight with a part at its crashes. */
    private static final int MIN_REQUESTS = 2;

    private final SuspectTable<PartId> suspects;
    private final PartFrequency frequency;
    private final Collection<PartQuarantine.SoundRun> soundRuns;

    CulpritSearch(
            SuspectTable<PartId> suspects, PartFrequency frequency, Collection<PartQuarantine.SoundRun> soundRuns) {
        this.suspects = suspects;
        this.frequency = frequency;
        this.soundRuns = soundRuns;
    }

    /** Attributes each crash to the part that explains the most crashes, and returns the parts with enough of them. */
    List<PartQuarantine.Culprit> culprits() {
        List<PartQuarantine.Culprit> found = new ArrayList<>();
        List<Crash> explained = new ArrayList<>();
        suspects.forEach((part, suspect) -> {
            if (suspect.quarantinedUntilMillis() != Long.MIN_VALUE) {
                found.add(new PartQuarantine.Culprit(
                        Set.of(part), suspect.crashes().size(), suspect.quarantinedUntilMillis()));
                explained.addAll(suspect.crashes());
            }
        });
        Map<PartId, List<Crash>> unexplained = strongSuspects();
        found.forEach(culprit -> unexplained.keySet().removeAll(culprit.parts()));
        removeExplained(unexplained, explained);
        while (true) {
            Optional<PartId> strongest = unexplained.keySet().stream()
                    .filter(part -> unexplained.get(part).size() >= PartQuarantine.CRASHES_TO_QUARANTINE)
                    .max(strength(unexplained));
            if (strongest.isEmpty()) {
                return found;
            }
            List<Crash> crashes = unexplained.get(strongest.get());
            Set<PartId> parts = sameCrashes(crashes, unexplained);
            long newestMillis = crashes.get(crashes.size() - 1).atMillis();
            found.add(new PartQuarantine.Culprit(
                    parts, crashes.size(), newestMillis + RequestQuarantine.QUARANTINE_MILLIS));
            unexplained.keySet().removeAll(parts);
            removeExplained(unexplained, crashes);
        }
    }

    private static void removeExplained(Map<PartId, List<Crash>> crashesByPart, List<Crash> explained) {
        crashesByPart.replaceAll((part, crashes) -> crashes.stream()
                .filter(crash -> explained.stream().noneMatch(crash::isSameAs))
                .toList());
    }

    /** Returns the parts with enough evidence, each with its crashes that no rarer one of them explains. */
    private Map<PartId, List<Crash>> strongSuspects() {
        Map<PartId, List<Crash>> strong = new HashMap<>();
        suspects.forEach((part, suspect) -> {
            if (isStrong(part, suspect.crashes())) {
                strong.put(part, List.copyOf(suspect.crashes()));
            }
        });
        Map<PartId, List<Crash>> unexplained = new HashMap<>();
        strong.forEach((part, crashes) -> unexplained.put(
                part,
                crashes.stream()
                        .filter(crash -> !cameWithRarer(part, crash, strong))
                        .toList()));
        return unexplained;
    }

    private boolean isStrong(PartId part, List<Crash> crashes) {
        return crashes.size() >= PartQuarantine.CRASHES_TO_QUARANTINE
                && crashes.stream().mapToInt(Crash::requestHash).distinct().count() >= MIN_REQUESTS
                && (frequency.share(part) <= DOMINANT_SHARE
                        || soundRunsWithout(part, crashes.get(0).atMillis()) >= MIN_SOUND_RUNS_WITHOUT
                        || crashesWithoutRarer(part, crashes) >= PartQuarantine.CRASHES_TO_QUARANTINE);
    }

    private long crashesWithoutRarer(PartId part, List<Crash> crashes) {
        Set<Crash> unexplained = new HashSet<>(crashes);
        suspects.forEach((other, suspect) -> {
            if (frequency.share(other) < frequency.share(part)) {
                unexplained.removeIf(crash -> suspect.crashes().stream().anyMatch(crash::isSameAs));
            }
        });
        return unexplained.size();
    }

    private long soundRunsWithout(PartId part, long sinceMillis) {
        return soundRuns.stream()
                .filter(run -> run.atMillis() > sinceMillis && !run.parts().contains(part))
                .count();
    }

    /** Returns whether the request that was in flight with a part at a crash has a rarer one of these parts. */
    private boolean cameWithRarer(PartId part, Crash crash, Map<PartId, List<Crash>> strong) {
        return strong.entrySet().stream()
                .anyMatch(other -> frequency.share(other.getKey()) < frequency.share(part)
                        && other.getValue().stream()
                                .anyMatch(own -> own.isSameAs(crash) && own.requestHash() == crash.requestHash()));
    }

    /** Orders parts by the number of crashes, then by the time of the newest one, then by id. */
    private static Comparator<PartId> strength(Map<PartId, List<Crash>> crashes) {
        return Comparator.<PartId>comparingInt(part -> crashes.get(part).size())
                .thenComparingLong(part -> crashes.get(part).stream()
                        .mapToLong(Crash::atMillis)
                        .max()
                        .orElse(Long.MIN_VALUE))
                .thenComparing(PartId::value);
    }

    private static Set<PartId> sameCrashes(List<Crash> crashes, Map<PartId, List<Crash>> crashesByPart) {
        Set<PartId> parts = new HashSet<>();
        crashesByPart.forEach((part, own) -> {
            if (own.size() == crashes.size()
                    && own.stream().allMatch(crash -> crashes.stream().anyMatch(crash::isSameAs))) {
                parts.add(part);
            }
        });
        return Set.copyOf(parts);
    }
}
