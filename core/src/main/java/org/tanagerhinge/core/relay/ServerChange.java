package org.tanagerhinge.core.relay;

/**
 * A change of what this node believes of a backend server.
 *
 * @param life name of the server's life ({@link ServerRegistration#instanceId()})
 */
public record ServerChange(String id, String instanceId, String service, Kind kind) {
    static ServerChange of(ServerInstance server, Kind kind) {
        return new ServerChange(server.id(), server.instanceId(), server.service(), kind);
    }

    /** What has changed. */
    public enum Kind {
        ADDED,
        DRAINING,
        REMOVED
    }
}
