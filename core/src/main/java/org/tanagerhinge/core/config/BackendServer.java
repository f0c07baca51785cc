package org.tanagerhinge.core.config;

import java.util.Set;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;

/**
 * Describes a backend server as operators listed it.
 *
 * @param agentAddress address on which its agent listens, as {@code IP:PORT}
 * @param targets the models, or the one plain service, that the server provides
 */
public record BackendServer(
        ServerId id,
        String agentAddress,
        FailureDomain failureDomain,
        ServerKind kind,
        Set<TargetName> targets,
        DesiredServerState desiredState) {
    public BackendServer {
        targets = Set.copyOf(targets);
    }

    /** Returns this server with another desired state. */
    public BackendServer withDesiredState(DesiredServerState newDesiredState) {
        return new BackendServer(id, agentAddress, failureDomain, kind, targets, newDesiredState);
    }
}
