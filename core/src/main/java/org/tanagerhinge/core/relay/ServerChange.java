package org.tanagerhinge.core.relay;

/**
 * Describes a change in this node's list of backend servers.
 *
 * @param instanceId id of the server instance ({@link ServerRegistration#instanceId()})
 */
public record ServerChange(String id, String instanceId, String service, Kind kind) {
    static ServerChange of(ServerInstance server, Kind kind) {
        return new ServerChange(server.id(), server.instanceId(), server.service(), kind);
    }

    /** Kind of change. */
    public enum Kind {
        ADDED,
        DRAINING,
        REMOVED
    }
}
