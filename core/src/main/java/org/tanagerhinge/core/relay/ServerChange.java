package org.tanagerhinge.core.relay;

/**
 * A change of what this node believes of a backend server.
 *
 * @param life name of the server's life ({@link ServerRegistration#life()})
 */
public record ServerChange(String id, String life, String service, Kind kind) {
    static ServerChange of(ServerInstance server, Kind kind) {
        return new ServerChange(server.id(), server.life(), server.service(), kind);
    }

    /** What has changed. */
    public enum Kind {
        SEEN,
        DRAINING,
        GONE
    }
}
