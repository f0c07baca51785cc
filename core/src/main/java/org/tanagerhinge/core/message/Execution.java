package org.tanagerhinge.core.message;

import org.tanagerhinge.core.id.KeyDigest;

/**
 * Identifies one permitted execution of a non-idempotent request.
 *
 * @param digest digest of the caller's idempotency key, or of a key made by the router if the caller gave none
 * @param generation grows each time the right to run passes on; an agent rejects a generation that it has closed
 */
public record Execution(KeyDigest digest, long generation) {
    /** Returns the execution of a digest's generation. */
    public static Execution of(KeyDigest digest, long generation) {
        return new Execution(digest, generation);
    }
}
