package org.tanagerhinge.gateway;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a backend server's answer tells besides its HTTP framing.
 *
 * @param attemptId the request that it answers; empty text if it names none
 * @param sealed whether it bears the server's signature
 * @param notRun whether it states that the request did not run and won't
 * @param load what the server runs, if it tells
 * @param weightsVersion version of the model's weights, if it tells
 * @param leaving whether the server says that it leaves
 * @param retryAfterMillis for how long the server wants nothing, if it tells
 */
public record BackendResponseMetadata(
        String attemptId,
        boolean sealed,
        boolean notExecuted,
        Optional<ServerLoad> load,
        Optional<String> weightsVersion,
        boolean leaving,
        OptionalLong retryAfterMillis) {
    /** Requests that a server runs, that wait there, and that it can run at once. */
    public record ServerLoad(int running, int waiting, int slots) {}
}
