package org.tanagerhinge.core.message;

import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;

/**
 * Grants one agent the right to run a request with an idempotency key; stored in the platform's key-value store.
 *
 * @param digest digest of the idempotency key
 * @param bodyDigest digest of the request body, to detect a key that is reused for another request
 * @param executor the backend server whose agent may run the request
 * @param executorIncarnation the incarnation of that agent
 * @param generation grows with each change of the entry and does not restart while an agent remembers the key
 * @param owner the request that holds the claim
 * @param free whether nothing ran under the claim and nothing will, so that another request may take it
 */
public record ClaimEntry(
        KeyDigest digest,
        String bodyDigest,
        ServerId executor,
        long executorIncarnation,
        long generation,
        RequestId owner,
        boolean free) {
    /** Returns the claim that a request asks for; its generation is set when it is granted. */
    public static ClaimEntry requested(
            KeyDigest digest, String bodyDigest, ServerId executor, long executorIncarnation, RequestId owner) {
        return new ClaimEntry(digest, bodyDigest, executor, executorIncarnation, 0, owner, false);
    }

    /** Returns this entry, granted with a generation. */
    public ClaimEntry withGeneration(long newGeneration) {
        return new ClaimEntry(digest, bodyDigest, executor, executorIncarnation, newGeneration, owner, false);
    }

    /**
     * Returns this entry, released.
     *
     * <p>The entry is kept with a greater generation instead of being deleted: the agent has closed the former
     * generation and would reject a claim that restarts at the first one.
     */
    public ClaimEntry released() {
        return new ClaimEntry(digest, bodyDigest, executor, executorIncarnation, generation + 1, owner, true);
    }

    /** Returns whether another entry names the same incarnation of the same agent. */
    public boolean sameExecutor(ClaimEntry other) {
        return executor.equals(other.executor) && executorIncarnation == other.executorIncarnation;
    }

    /** Returns the execution that the entry permits. */
    public Execution execution() {
        return new Execution(digest, generation);
    }
}
