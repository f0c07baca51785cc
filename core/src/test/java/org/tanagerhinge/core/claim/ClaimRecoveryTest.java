package org.tanagerhinge.core.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.StoredClaim;

/** Tests which claims a router keeps for a restore of the store, and when it settles claims again. */
class ClaimRecoveryTest {
    private static final Duration POLL = Duration.ofSeconds(1);

    private Instant now = Instant.EPOCH;
    private final ClaimRecovery recovery = ClaimRecovery.create(() -> now);

    /** Guards against refusing keyed requests where the store states no era, as stores without restores do. */
    @Test
    void storeWithoutErasNeedsNoWait() {
        recovery.observe(0);
        assertTrue(recovery.settling());
        assertTrue(recovery.retain(claim(1, 1), 0));
    }

    /** Guards against a grant by a process that started just after a restore and knows of none. */
    @Test
    void startedProcessWaitsUnlessAnotherHasWaited() {
        recovery.observe(3);
        assertFalse(recovery.settling());
        assertFalse(recovery.storeAnswered(2));
        assertTrue(recovery.storeAnswered(3));
        assertTrue(recovery.settling());
    }

    /** Guards against a claim that is settled before the other routers could write theirs again. */
    @Test
    void claimsAreSettledAfterTheStoreAnsweredForTheHoldTime() {
        settleInEra(1);
        recovery.observe(2);
        assertFalse(answerUntil(ClaimRecovery.HOLD_TIME.minus(POLL)));
        now = now.plus(POLL);
        assertTrue(recovery.storeAnswered(1));
    }

    /** Guards against a hold time that passes while no router reaches the store. */
    @Test
    void outageOfTheStoreDoesNotCountAsHoldTime() {
        settleInEra(1);
        recovery.observe(2);
        recovery.storeAnswered(1);
        now = now.plus(Duration.ofMinutes(1));
        assertFalse(recovery.storeAnswered(1));
    }

    /** Guards against a claim of before the restore that is settled although it is not in the store again. */
    @Test
    void ownClaimsAreWrittenBeforeAnyIsSettled() {
        settleInEra(1);
        assertTrue(recovery.retain(claim(1, 1), 1));
        recovery.observe(2);
        assertEquals(List.of(claim(1, 1)), recovery.pending());
        assertFalse(recovery.storeAnswered(2));
        recovery.restored(claim(1, 1), 2);
        assertEquals(List.of(), recovery.pending());
        assertTrue(recovery.storeAnswered(2));
    }

    /** Guards against a decision that the store made before it was restored and forgot. */
    @Test
    void decisionOfAnEarlierEraDoesNotStand() {
        settleInEra(1);
        recovery.observe(2);
        assertFalse(recovery.retain(claim(1, 1), 1));
        recovery.storeAnswered(2);
        assertFalse(recovery.retain(claim(1, 1), 1));
    }

    /** Guards against an earlier generation that replaces the one under which a request runs. */
    @Test
    void greatestGenerationIsKept() {
        settleInEra(1);
        recovery.retain(claim(1, 2), 1);
        recovery.retain(claim(1, 1), 1);
        recovery.observe(2);
        assertEquals(List.of(claim(1, 2)), recovery.pending());
    }

    /** Guards against a claim written after one restore that a second restore loses. */
    @Test
    void claimWrittenAgainIsKeptForTheNextRestore() {
        settleInEra(1);
        recovery.retain(claim(1, 1), 1);
        recovery.observe(2);
        now = now.plus(ClaimRecovery.RETENTION);
        recovery.restored(claim(1, 1), 2);
        recovery.storeAnswered(2);
        now = now.plus(ClaimRecovery.RETENTION);
        recovery.retain(claim(2, 1), 2);
        recovery.observe(3);
        assertEquals(List.of(claim(2, 1), claim(1, 1)), recovery.pending());
    }

    /** Guards against memory that grows with the traffic or the time that a router runs. */
    @Test
    void keptClaimsAreBoundedByAgeAndNumber() {
        settleInEra(1);
        recovery.retain(claim(0, 1), 1);
        now = now.plus(ClaimRecovery.RETENTION).plusMillis(1);
        recovery.retain(claim(1, 1), 1);
        recovery.observe(2);
        assertEquals(List.of(claim(1, 1)), recovery.pending());
        recovery.restored(claim(1, 1), 2);
        recovery.storeAnswered(2);
        for (int key = 2; key < 2 * ClaimRecovery.MAX_RETAINED; key++) {
            recovery.retain(claim(key, 1), 2);
        }
        recovery.observe(3);
        assertEquals(ClaimRecovery.MAX_RETAINED, recovery.pending().size());
        assertEquals(
                claim(2 * ClaimRecovery.MAX_RETAINED - 1, 1), recovery.pending().getFirst());
    }

    private void settleInEra(long era) {
        recovery.observe(era);
        assertTrue(recovery.storeAnswered(era));
    }

    /** Lets the store answer once a poll interval; returns whether claims were settled meanwhile. */
    private boolean answerUntil(Duration duration) {
        boolean settled = recovery.storeAnswered(1);
        Instant end = now.plus(duration);
        while (now.isBefore(end)) {
            now = now.plus(POLL);
            settled |= recovery.storeAnswered(1);
        }
        return settled;
    }

    /**
     * Guards against a router that refuses keyed requests until it restarts, since it keeps a released claim of a
     * greater generation than the restored store has.
     */
    @Test
    void releasedClaimReplacesAnEarlierGenerationOfAnotherOwner() {
        ClaimEntry restored = claim(1, 1);
        ClaimEntry kept = ClaimEntry.requested(
                        restored.digest(), "body", ServerId.of("engine-1"), 1, RequestId.of("other"))
                .withGeneration(3)
                .released();
        assertTrue(ClaimDecision.restores(restored, kept));
        assertFalse(ClaimDecision.restores(kept, restored));
    }

    /** Guards against a claim that stays pending for ever, since the store has another generation of it. */
    @Test
    void claimThatIsInTheStoreIsPendingNoMore() {
        settleInEra(1);
        recovery.retain(claim(1, 3), 1);
        recovery.observe(2);
        assertEquals(List.of(claim(1, 3)), recovery.pending());
        recovery.restored(claim(1, 1), 2);
        assertEquals(List.of(), recovery.pending());
    }

    /** Guards against a claim that was granted before a restore and is reported to a router that noticed it already. */
    @Test
    void claimReportedFromAnEarlierEraIsPending() {
        settleInEra(2);
        recovery.keep(new StoredClaim(claim(1, 1), 1));
        recovery.keep(new StoredClaim(claim(2, 1), 2));
        assertEquals(List.of(claim(1, 1)), recovery.pending());
        assertEquals(Optional.of(claim(1, 1)), recovery.pending(claim(1, 1).digest()));
        assertEquals(Optional.empty(), recovery.pending(claim(2, 1).digest()));
    }

    /** Guards against writing a claim again with each report of it. */
    @Test
    void claimThatIsWrittenAgainIsNotPendingWhenItIsReportedAgain() {
        settleInEra(1);
        recovery.keep(new StoredClaim(claim(1, 1), 1));
        recovery.observe(2);
        recovery.restored(claim(1, 1), 2);
        recovery.keep(new StoredClaim(claim(1, 1), 1));
        assertEquals(List.of(), recovery.pending());
    }

    /** Guards against a report that replaces a later generation, under which the request may run. */
    @Test
    void reportOfAnEarlierGenerationIsIgnored() {
        settleInEra(1);
        recovery.retain(claim(1, 2), 1);
        recovery.keep(new StoredClaim(claim(1, 1), 1));
        recovery.observe(2);
        assertEquals(List.of(claim(1, 2)), recovery.pending());
    }

    private static ClaimEntry claim(int key, long generation) {
        return ClaimEntry.requested(
                        new KeyDigest(KeyDigest.sha256Hex("key " + key).substring(0, 32)),
                        "body",
                        ServerId.of("engine-0"),
                        1,
                        RequestId.of("r" + key))
                .withGeneration(generation);
    }
}
