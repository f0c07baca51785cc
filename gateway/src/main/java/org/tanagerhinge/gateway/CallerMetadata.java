package org.tanagerhinge.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerhinge.core.relay.Prompt;

/**
 * What a caller's request head tells besides its HTTP framing.
 *
 * @param attemptId names this try of the caller; empty text if it gave none
 * @param patienceMillis how long the caller will wait, if it says so
 * @param key the caller's key, if it gave one
 * @param lastEventId the event after which a stream goes on; 0 for its beginning
 */
public record CallerMetadata(
        String attemptId, OptionalLong timeoutMillis, Optional<String> key, Prompt prompt, long lastEventId) {}
