package org.tanagerhinge.gateway;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Holds what the head of a backend server's response says besides HTTP framing.
 *
 * @param attemptId id of the attempt that it responds to; empty if it names none
 * @param sealed whether it bears the server's signature
 * @param notExecuted whether it states that the request was not executed and will not be
 * @param load the server's load, if reported
 * @param weightsVersion version of the model weights, if reported
 * @param leaving whether the server announces that it leaves
 * @param retryAfterMillis how long the server wants no requests, in milliseconds, if reported
 */
public record BackendResponseMetadata(
        String attemptId,
        boolean sealed,
        boolean notExecuted,
        Optional<ServerLoad> load,
        Optional<String> weightsVersion,
        boolean leaving,
        OptionalLong retryAfterMillis) {
    /**
     * Counts the requests that a server runs, those that wait there, and its slots for running requests.
     *
     * @param workTime how long work takes on the server's host relative to nominal, if reported
     */
    public record ServerLoad(int running, int waiting, int slots, OptionalDouble workTime) {}
}
