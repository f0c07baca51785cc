package org.tanagerhinge.core.router;

import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.message.BackendCall;

/**
 * Carries a caller's request as received, before its names are resolved.
 *
 * @param keyHash hex SHA-256 of the bearer key, empty if there was none
 * @param profile the profile that the caller named, empty if none
 * @param target the model or service that the caller named
 * @param idempotencyKey the caller's key for a request that must not run twice
 * @param bodyDigest digest of the request body
 * @param promptUnits estimated prompt size in tokens; zero for a plain service
 * @param sharedParts parts of the prompt that other requests may share: the messages before the last one
 * @param affinity identifies the prompt prefix, so that requests sharing it can go to the same engine; empty if none
 */
public record IncomingRequest(
        RequestId id,
        String keyHash,
        String profile,
        ServerKind kind,
        String target,
        BackendCall call,
        Optional<String> idempotencyKey,
        String bodyDigest,
        long promptUnits,
        List<PartId> sharedParts,
        String affinity) {}
