package org.tanagerhinge.core.claim;

import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.StoredClaim;

/** Decides whether a request gets the claim of its caller's idempotency key. */
public sealed interface ClaimDecision {
    /** The request holds the claim; the entry contains its generation. */
    record Granted(StoredClaim claim) implements ClaimDecision {}

    /** Another request holds the key; the entry names the server that runs it. */
    record HeldByOther(ClaimEntry entry) implements ClaimDecision {}

    /** The store did not answer; the claim may have been written. */
    record Unsettled(String reason) implements ClaimDecision {}

    /**
     * Decides on a claim from the current entry in the store.
     *
     * @param current entry stored under the key, null if none
     * @param requested entry that the request wants to write
     * @param expectedGeneration generation that the request may replace because nothing runs under it; 0 for none
     * @param era era of the store in which the current entry was read
     * @return the decision, or null if the requested entry may replace the current one
     */
    static ClaimDecision decide(ClaimEntry current, ClaimEntry requested, long expectedGeneration, long era) {
        if (current == null || current.free()) {
            return null;
        }
        if (expectedGeneration > 0 && current.generation() == expectedGeneration) {
            return null;
        }
        if (current.owner().equals(requested.owner()) && current.sameExecutor(requested)) {
            // An earlier write took effect although its answer was lost.
            return new Granted(new StoredClaim(current, era));
        }
        return new HeldByOther(current);
    }

    /**
     * Returns whether a claim of before a restore of the store replaces the entry found there afterwards.
     *
     * <p>An entry of the same generation by another owner was written after the restore and is not settled, since its
     * router waits as well. A free entry of the same generation does not replace another owner's: that one may
     * have run since.
     *
     * @param current entry stored under the key, null if none
     * @param kept the claim of before the restore
     */
    static boolean restores(ClaimEntry current, ClaimEntry kept) {
        if (current == null) {
            return true;
        }
        if (current.generation() != kept.generation() || current.equals(kept)) {
            return current.generation() < kept.generation();
        }
        return !kept.free() || kept.owner().equals(current.owner());
    }
}
