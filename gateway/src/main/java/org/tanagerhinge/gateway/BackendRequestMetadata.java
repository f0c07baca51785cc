package org.tanagerhinge.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what the relay adds to a request for a backend server.
 *
 * @param serverId the server instance that is meant; another instance must not run the request
 * @param remainingMillis time until the caller's deadline, in milliseconds
 * @param workspace name of the workspace that owns the caller's key
 * @param priority rank, 0 is the most urgent
 * @param resumeAfterEvent id of the event after which a stream resumes; empty to forward the caller's own value
 * @param fetchFrom another server of the service from which cached parts of the prompt can be fetched
 * @param weightsVersion version of the model weights that produced the start of the response and must continue it
 */
public record BackendRequestMetadata(
        String serverId,
        long remainingMillis,
        Optional<String> workspace,
        int priority,
        OptionalLong resumeAfterEvent,
        Optional<InetSocketAddress> fetchFrom,
        Optional<String> weightsVersion) {}
