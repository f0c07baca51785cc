package org.tanagerhinge.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerhinge.core.relay.Prompt;

/**
 * Holds what the head of a caller's request says besides HTTP framing.
 *
 * @param attemptId identifies this attempt of the caller; empty if it gave none
 * @param timeoutMillis how long the caller waits, in milliseconds, if stated
 * @param key the caller's key, if present
 * @param prompt what the head says about the prompt
 * @param lastEventId id of the event after which a stream resumes; 0 for its beginning
 * @param resumedAttemptId id of the caller's attempt that brought the first event of the stream that it resumes
 */
public record CallerMetadata(
        String attemptId,
        OptionalLong timeoutMillis,
        Optional<String> key,
        Prompt prompt,
        long lastEventId,
        Optional<String> resumedAttemptId) {}
