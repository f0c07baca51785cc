package org.tanagerhinge.core.relay;

/**
 * Describes a change in this node's list of backend servers.
 *
 * @param instanceId id of the server instance ({@link ServerRegistration#instanceId()})
 * @param softwareVersion version of the server's software; empty if unknown
 */
public record ServerChange(String id, String instanceId, String service, String softwareVersion, Kind kind) {
    static ServerChange of(ServerInstance server, Kind kind) {
        return new ServerChange(server.id(), server.instanceId(), server.service(), server.softwareVersion(), kind);
    }

    /** Kind of change. */
    public enum Kind {
        ADDED,
        DRAINING,
        REMOVED
    }
}
