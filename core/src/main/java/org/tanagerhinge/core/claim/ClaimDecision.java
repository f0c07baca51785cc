package org.tanagerhinge.core.claim;

import org.tanagerhinge.core.message.ClaimEntry;

/** What became of a request's claim of its caller's key. */
public sealed interface ClaimDecision {
    /** The claim is the request's; the entry holds its generation. */
    record Granted(ClaimEntry entry) implements ClaimDecision {}

    /** Another request holds the key; the entry says where it runs. */
    record HeldByOther(ClaimEntry entry) implements ClaimDecision {}

    /** The store did not answer; the claim may or may not have been written. */
    record Unsettled(String reason) implements ClaimDecision {}

    /**
     * Decides on a claim from what the store holds.
     *
     * @param current what it holds under the key, null if nothing
     * @param wanted what the request wants
     * @param expectedGeneration the generation that it may replace, since nothing runs under it; 0 for none
     * @return the decision, or null if the wanted entry may be written in the place of the current one
     */
    static ClaimDecision decide(ClaimEntry current, ClaimEntry requested, long expectedGeneration) {
        if (current == null || current.free()) {
            return null;
        }
        if (expectedGeneration > 0 && current.generation() == expectedGeneration) {
            return null;
        }
        if (current.owner().equals(requested.owner()) && current.sameExecutor(requested)) {
            // The write of an earlier call took effect though its answer was lost.
            return new Granted(current);
        }
        return new HeldByOther(current);
    }
}
