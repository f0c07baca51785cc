package org.tanagerhinge.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against prompt parts that crash server after server, and against quarantining sound parts beside them. */
class PartQuarantineTest {
    private static final PartId CULPRIT = PartId.of("bad");
    private static final PartId COMMON = PartId.of("common");
    private static final PartId RARE = PartId.of("rare");

    private final PartQuarantine quarantine = PartQuarantine.create();
    private int nextRequest;

    private SuspectRun run(PartId... parts) {
        return new SuspectRun(new RequestFingerprint(1, nextRequest++), Arrays.asList(parts));
    }

    private static boolean isRefused(PartQuarantine node, long nowMillis, PartId... parts) {
        return node.culpritAmong(Arrays.asList(parts), nowMillis).isPresent();
    }

    private static void report(PartQuarantine from, PartQuarantine to, long nowMillis) {
        from.pendingUpdates(nowMillis).forEach(update -> to.merge(update, nowMillis));
    }

    @Test
    void differentRequestsWithOnePartAddUp() {
        quarantine.recordCrash(run(CULPRIT), "a", 0);
        quarantine.recordCrash(run(CULPRIT), "b", 1_000);
        assertFalse(isRefused(quarantine, 1_000, CULPRIT));
        quarantine.recordCrash(run(CULPRIT), "c", 2_000);
        assertTrue(isRefused(quarantine, 2_000, COMMON, CULPRIT));
        assertFalse(isRefused(quarantine, 2_000, COMMON));
        assertEquals(List.of(CULPRIT), quarantine.quarantined(2_000));
        assertFalse(isRefused(quarantine, 2_000 + RequestQuarantine.QUARANTINE_MILLIS, CULPRIT));
    }

    /** Guards against holding the parts of a request that happens to be retried at servers which crash. */
    @Test
    void retriesOfOneRequestAreNoEvidenceAgainstItsParts() {
        SuspectRun retried = run(RARE);
        quarantine.recordCrash(retried, "a", 0);
        quarantine.recordCrash(retried, "b", 1_000);
        quarantine.recordCrash(retried, "c", 2_000);
        assertFalse(isRefused(quarantine, 2_000, RARE));
    }

    /** Guards against refusing all requests since a part that all share was in flight wherever a server crashed. */
    @Test
    void partOfSoundRunsIsNotSuspected() {
        for (int i = 0; i < 5; i++) {
            quarantine.recordSoundRun(List.of(COMMON), 1_000L * i);
            quarantine.recordCrash(run(COMMON, CULPRIT), "s-" + i, 1_000L * i + 500);
        }
        assertFalse(isRefused(quarantine, 5_000, COMMON));
        assertTrue(isRefused(quarantine, 5_000, COMMON, CULPRIT));
    }

    /** Guards against refusing all requests after all servers have crashed together. */
    @Test
    void crashOfAllServersQuarantinesNoPartThatWasInUse() {
        quarantine.recordSoundRun(List.of(COMMON), 0);
        for (int i = 0; i < 6; i++) {
            quarantine.recordCrash(run(COMMON), "s-" + i, 1_000 + i);
        }
        assertFalse(isRefused(quarantine, 1_100, COMMON));
    }

    @Test
    void soundRunEndsQuarantine() {
        quarantine.restore(RARE, 0);
        assertTrue(isRefused(quarantine, 1, RARE));
        assertEquals(List.of(new PartQuarantine.Cleared(RARE, true)), quarantine.recordSoundRun(List.of(RARE), 1_000));
        assertFalse(isRefused(quarantine, 1_000, RARE));
    }

    /** Guards against refusing sound requests with a part that each request of the culprit has had too. */
    @Test
    void partsThatCannotBeToldApartAreRefusedOnlyTogether() {
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(run(RARE, CULPRIT), "s-" + i, 1_000L * i);
        }
        assertTrue(isRefused(quarantine, 3_000, RARE, CULPRIT));
        assertFalse(isRefused(quarantine, 3_000, RARE, COMMON));
        assertTrue(quarantine.quarantined(3_000).isEmpty(), "neither is known to be at fault");
        quarantine.recordSoundRun(List.of(RARE, COMMON), 3_000);
        assertTrue(isRefused(quarantine, 3_000, CULPRIT));
        assertEquals(List.of(CULPRIT), quarantine.quarantined(3_000));
    }

    /** Guards against holding a part whose crashes two culprits explain. */
    @Test
    void crashesCountOnlyForThePartThatExplainsMost() {
        PartId second = PartId.of("bad2");
        for (int i = 0; i < 4; i++) {
            quarantine.recordCrash(run(CULPRIT), "a-" + i, 1_000L * i);
            quarantine.recordCrash(run(second), "b-" + i, 1_000L * i + 500);
        }
        quarantine.recordCrash(run(RARE), "a-0", 0);
        quarantine.recordCrash(run(RARE), "a-2", 2_000);
        quarantine.recordCrash(run(RARE), "b-2", 2_500);
        assertEquals(Set.of(CULPRIT, second), Set.copyOf(quarantine.quarantined(4_000)));
        assertFalse(isRefused(quarantine, 4_000, RARE));
    }

    /** Guards against refusing all requests while two parts crash all servers before any answer has gone on. */
    @Test
    void partOfMostPromptsIsHeldOnlyIfOthersRunWell() {
        PartId second = PartId.of("bad2");
        for (int i = 0; i < 100; i++) {
            quarantine.recordArrival(i % 10 == 0 ? List.of(COMMON, CULPRIT) : List.of(COMMON));
        }
        for (int i = 0; i < 2; i++) {
            quarantine.recordCrash(run(COMMON, CULPRIT), "a-" + i, 1_000L * i);
            quarantine.recordCrash(run(COMMON, second), "b-" + i, 1_000L * i + 500);
        }
        assertFalse(isRefused(quarantine, 2_000, COMMON));
        quarantine.recordCrash(run(COMMON, CULPRIT), "a-2", 2_000);
        quarantine.recordCrash(run(COMMON, second), "b-2", 2_500);
        assertEquals(Set.of(CULPRIT, second), Set.copyOf(quarantine.quarantined(2_500)));
        for (int i = 0; i < 3; i++) {
            quarantine.recordSoundRun(List.of(RARE), 2_600);
            quarantine.recordCrash(run(COMMON), "c-" + i, 3_000L + i);
        }
        assertTrue(isRefused(quarantine, 3_100, COMMON), "only prompts without it run well");
    }

    /** Guards against sending on what crashes servers since there is nothing else to compare it with. */
    @Test
    void partOfAllPromptsIsHeldIfItIsTheOnlySuspect() {
        for (int i = 0; i < 100; i++) {
            quarantine.recordArrival(List.of(CULPRIT));
        }
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(run(CULPRIT), "s-" + i, 1_000L * i);
        }
        assertTrue(isRefused(quarantine, 3_000, CULPRIT));
    }

    /** Guards against releasing a culprit, whose crashes others explain later since it is not sent any more. */
    @Test
    void rarePartStaysQuarantinedWhateverElseExplainsItsCrashes() {
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(run(CULPRIT), "s-" + i, 1_000L * i);
        }
        assertTrue(isRefused(quarantine, 2_000, CULPRIT));
        for (int i = 0; i < 8; i++) {
            quarantine.recordCrash(run(RARE), "s-" + i, 1_000L * i);
        }
        assertTrue(isRefused(quarantine, 8_000, CULPRIT));
    }

    /** Guards against a part that is held by mistake and cannot show that it is sound. */
    @Test
    void partThatHasRunWellHasOneTrialInAQuarantine() {
        quarantine.recordSoundRun(List.of(RARE), 0);
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(run(RARE), "a-" + i, 10_000 + i);
            quarantine.recordCrash(run(CULPRIT), "b-" + i, 10_000 + i);
        }
        long laterMillis = 10_003 + PartQuarantine.TRIAL_DELAY_MILLIS;
        PartQuarantine.Culprit rare =
                quarantine.culpritAmong(List.of(RARE), laterMillis).orElseThrow();
        PartQuarantine.Culprit culprit =
                quarantine.culpritAmong(List.of(CULPRIT), laterMillis).orElseThrow();
        assertFalse(quarantine.takeTrial(rare, Long.MAX_VALUE, 10_100), "too early");
        assertFalse(quarantine.takeTrial(culprit, Long.MAX_VALUE, laterMillis), "never seen to run well");
        assertTrue(quarantine.takeTrial(rare, Long.MAX_VALUE, laterMillis));
        assertFalse(quarantine.takeTrial(rare, Long.MAX_VALUE, laterMillis + 1));
        assertFalse(quarantine.takeTrial(culprit, 11_000, laterMillis), "held before this node has started anew");
        assertTrue(quarantine.takeTrial(culprit, 9_000, laterMillis), "nobody can know yet what runs well");
    }

    /** Guards against holding a part that came with the culprit, and was in flight at one more crash. */
    @Test
    void partIsNotSuspectedForRequestsThatHaveARarerSuspect() {
        for (int i = 0; i < 20; i++) {
            quarantine.recordArrival(i % 2 == 0 ? List.of(RARE, CULPRIT) : List.of(RARE));
        }
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(run(RARE, CULPRIT), "s-" + i, 1_000L * i);
        }
        quarantine.recordCrash(run(RARE), "t", 4_000);
        assertEquals(List.of(CULPRIT), quarantine.quarantined(4_000));
        assertFalse(isRefused(quarantine, 4_000, RARE));
    }

    /** Guards against evidence that stays after another node has shown a part to be sound since. */
    @Test
    void soundRunOfAnotherNodeClearsOlderCrashes() {
        PartQuarantine other = PartQuarantine.create();
        quarantine.recordCrash(run(RARE), "a", 0);
        quarantine.recordCrash(run(RARE), "b", 100);
        other.recordCrash(run(RARE), "a", 0);
        other.recordSoundRun(List.of(RARE), 1_000);
        other.recordCrash(run(RARE), "c", 7_000);
        report(other, quarantine, 7_000);
        assertEquals(1, quarantine.crashCount(RARE));
    }

    @Test
    void crashesSeenByDifferentNodesAddUp() {
        PartQuarantine other = PartQuarantine.create();
        quarantine.recordCrash(run(CULPRIT), "a", 0);
        other.recordCrash(run(CULPRIT), "a", 10);
        other.recordCrash(run(CULPRIT), "b", 1_000);
        report(other, quarantine, 1_000);
        assertFalse(isRefused(quarantine, 1_000, CULPRIT), "both have seen the first crash");
        quarantine.recordCrash(run(CULPRIT), "c", 2_000);
        report(quarantine, other, 2_000);
        assertTrue(isRefused(quarantine, 2_000, CULPRIT));
        assertTrue(isRefused(other, 2_000, CULPRIT));
    }

    /** Guards against a node without memory, just started, that has a part held which runs well everywhere else. */
    @Test
    void nodeThatKnowsAPartToBeSoundObjects() {
        PartQuarantine cold = PartQuarantine.create();
        for (int i = 0; i < 3; i++) {
            cold.recordCrash(run(COMMON), "s-" + i, 1_000L * i);
        }
        quarantine.recordSoundRun(List.of(COMMON), 1_900);
        report(cold, quarantine, 2_100);
        assertFalse(isRefused(quarantine, 2_100, COMMON));
        report(quarantine, cold, 2_200);
        assertFalse(isRefused(cold, 2_200, COMMON));
    }

    @Test
    void nodeThatStartsLaterLearnsOfStandingQuarantines() {
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(run(CULPRIT), "s-" + i, 1_000L * i);
        }
        quarantine.restore(RARE, 3_000);
        PartQuarantine later = PartQuarantine.create();
        quarantine.nextRefreshes(60_000).forEach(update -> later.merge(update, 60_000));
        assertTrue(isRefused(later, 60_000, CULPRIT));
        assertTrue(isRefused(later, 60_000, RARE));
    }

    /** Guards against evicting the culprit by prompts with many parts that are in flight beside it. */
    @Test
    void partWithSeveralCrashesIsEvictedLast() {
        quarantine.recordCrash(run(CULPRIT), "a", 0);
        quarantine.recordCrash(run(CULPRIT), "b", 1_000);
        for (int i = 0; i < 2 * PartQuarantine.MAX_SUSPECTS; i++) {
            quarantine.recordCrash(run(PartId.of("p" + i)), "b", 1_000);
        }
        assertEquals(PartQuarantine.MAX_SUSPECTS, quarantine.size());
        quarantine.recordCrash(run(CULPRIT), "c", 2_000);
        assertTrue(isRefused(quarantine, 2_000, CULPRIT));
        assertEquals(
                PartQuarantine.MAX_UPDATES_PER_REPORT,
                quarantine.pendingUpdates(2_000).size());
    }

    @Test
    void suspectsExpire() {
        quarantine.recordCrash(run(CULPRIT), "a", 0);
        quarantine.evictExpired(RequestQuarantine.CRASH_RETENTION_MILLIS + 1);
        assertTrue(quarantine.isEmpty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"5c1e07a2", "a.b-c_D9"})
    void plainIdsAreKept(String text) {
        assertEquals(text, PartId.of(text).value());
        assertEquals(PartId.of(text), PartId.parse(text).orElseThrow());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a/b", "ü", "~0123", "123456789012345678901234567890123"})
    void otherIdsAreHashed(String text) {
        PartId id = PartId.of(text);
        assertEquals(17, id.value().length());
        assertEquals(id, PartId.parse(id.toString()).orElseThrow());
        assertTrue(PartId.parse("a/b").isEmpty());
    }

    /** Holds a part that has run well, and returns it as a culprit at a time when a trial is due. */
    private PartQuarantine.Culprit heldByMistake(long crashMillis) {
        quarantine.recordSoundRun(List.of(RARE), crashMillis - 2 * PartQuarantine.SOUND_MILLIS);
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(run(RARE), "a-" + i, crashMillis);
        }
        return quarantine.culpritAmong(List.of(RARE), crashMillis).orElseThrow();
    }

    /** Guards against a sound part that is held since its only trial did not run, or showed nothing. */
    @Test
    void trialIsRepeatedIfItEndedWithoutACrash() {
        PartQuarantine.Culprit culprit = heldByMistake(20_000);
        assertTrue(quarantine.takeTrial(culprit, Long.MAX_VALUE, 26_000));
        quarantine.endTrial(RARE, 26_000);
        assertTrue(quarantine.takeTrial(culprit, Long.MAX_VALUE, 26_001), "did not run");
        quarantine.endTrial(RARE, 32_000);
        assertFalse(quarantine.takeTrial(culprit, Long.MAX_VALUE, 31_000), "too early after a run without evidence");
        assertTrue(quarantine.takeTrial(culprit, Long.MAX_VALUE, 32_001));
        assertTrue(
                quarantine.takeTrial(culprit, Long.MAX_VALUE, 32_002 + SuspectTable.TRIAL_TIMEOUT_MILLIS),
                "nobody has told how the trial ended");
    }

    /** Guards against a part that crashes servers and is tried again and again. */
    @Test
    void trialThatCrashesItsServerIsTheLastOneAtAllNodes() {
        PartQuarantine other = PartQuarantine.create();
        PartQuarantine.Culprit culprit = heldByMistake(20_000);
        report(quarantine, other, 20_000);
        other.recordSoundRun(List.of(COMMON), 20_000);
        assertTrue(quarantine.takeTrial(culprit, Long.MAX_VALUE, 26_000));
        quarantine.recordCrash(run(RARE), "b", 26_100);
        quarantine.endTrial(RARE, 26_100);
        report(quarantine, other, 26_100);
        for (PartQuarantine node : List.of(quarantine, other)) {
            PartQuarantine.Culprit held =
                    node.culpritAmong(List.of(RARE), 40_000).orElseThrow();
            assertFalse(node.takeTrial(held, Long.MAX_VALUE, 40_000));
            assertFalse(node.takeTrial(held, Long.MAX_VALUE, 26_100 + RequestQuarantine.QUARANTINE_MILLIS - 1));
        }
    }

    /** Guards against a restored part without a trial, whose crashes nobody knows any more though it once ran well. */
    @Test
    void restoredPartThatOnceRanWellHasATrialAtOnce() {
        quarantine.recordSoundRun(List.of(RARE), 0);
        quarantine.restore(RARE, 100_000);
        PartQuarantine.Culprit rare =
                quarantine.culpritAmong(List.of(RARE), 100_000).orElseThrow();
        assertTrue(quarantine.trialFromMillis(rare, Long.MAX_VALUE).getAsLong() - 100_000 < 0);
        assertTrue(quarantine.takeTrial(rare, Long.MAX_VALUE, 100_000));
    }

    /** Guards against a sound part that is held for ten minutes after all gateways have started anew. */
    @Test
    void partThatTheStoreListsAsDoubtfulHasATrial() {
        quarantine.restore(RARE, true, 1_000);
        quarantine.restore(CULPRIT, 1_000);
        PartQuarantine.Culprit rare =
                quarantine.culpritAmong(List.of(RARE), 1_000).orElseThrow();
        PartQuarantine.Culprit culprit =
                quarantine.culpritAmong(List.of(CULPRIT), 1_000).orElseThrow();
        assertFalse(quarantine.takeTrial(rare, Long.MAX_VALUE, 2_000), "too early");
        assertFalse(quarantine.takeTrial(culprit, Long.MAX_VALUE, 8_000), "not doubtful");
        assertTrue(quarantine.takeTrial(rare, Long.MAX_VALUE, 8_000));
        quarantine.recordCrash(run(RARE), "a", 8_100);
        assertFalse(quarantine.takeTrial(rare, Long.MAX_VALUE, 90_000));
    }
}
