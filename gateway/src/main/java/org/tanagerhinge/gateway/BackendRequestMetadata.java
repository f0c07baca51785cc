package org.tanagerhinge.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the relay tells a backend server with a request.
 *
 * @param serverId the incarnation that is meant; another one must not run the request
 * @param leftMillis time after which the answer is of no use
 * @param workspace name of the workspace that holds the caller's key
 * @param priority rank, 0 is the most urgent
 * @param afterEvent the event after which a stream goes on; empty to pass on what the caller said
 * @param fetchFrom another server of the service from which it may take what that one holds of the prompt
 * @param weightsVersion the version of the weights that an answer was begun with, to be gone on with
 */
public record BackendRequestMetadata(
        String serverId,
        long remainingMillis,
        Optional<String> workspace,
        int priority,
        OptionalLong resumeAfterEvent,
        Optional<InetSocketAddress> fetchFrom,
        Optional<String> weightsVersion) {}
