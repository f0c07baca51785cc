package org.tanagerhinge.core.message;

import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;

/**
 * Who may run a keyed request, and where; kept in the platform's store.
 *
 * @param bodyDigest digest of the request body, so that a key used for another request is noticed
 * @param executor the backend server whose agent may run it
 * @param executorIncarnation the run of that agent
 * @param generation grows with each change of the entry, and never starts anew while an agent remembers the key
 * @param owner the request that holds the claim
 * @param free whether nothing ran under the claim and nothing will, so that the next request may have it
 */
public record ClaimEntry(
        KeyDigest digest,
        String bodyDigest,
        ServerId executor,
        long executorIncarnation,
        long generation,
        RequestId owner,
        boolean free) {
    /** Returns the claim that a request wants; it is numbered when it is granted. */
    public static ClaimEntry requested(
            KeyDigest digest, String bodyDigest, ServerId executor, long executorIncarnation, RequestId owner) {
        return new ClaimEntry(digest, bodyDigest, executor, executorIncarnation, 0, owner, false);
    }

    /** Returns this entry as granted with a generation. */
    public ClaimEntry withGeneration(long newGeneration) {
        return new ClaimEntry(digest, bodyDigest, executor, executorIncarnation, newGeneration, owner, false);
    }

    /**
     * Returns this entry as given back.
     *
     * <p>It is kept with a greater generation instead of being deleted: the agent has closed the former one, and would
     * refuse a claim that began again at the first generation.
     */
    public ClaimEntry released() {
        return new ClaimEntry(digest, bodyDigest, executor, executorIncarnation, generation + 1, owner, true);
    }

    /** Returns whether another entry is for the same run of the same agent. */
    public boolean sameExecutor(ClaimEntry other) {
        return executor.equals(other.executor) && executorIncarnation == other.executorIncarnation;
    }

    /** Returns the execution that the entry permits. */
    public Execution execution() {
        return new Execution(digest, generation);
    }
}
