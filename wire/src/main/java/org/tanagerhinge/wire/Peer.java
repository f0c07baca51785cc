package org.tanagerhinge.wire;

/**
 * Identifies the process at one end of a connection.
 *
 * @param role kind of the process
 * @param name configured name of the process
 * @param incarnation distinguishes successive runs of the process
 */
public record Peer(Role role, String name, long incarnation) {
    /** The two kinds of process that exchange messages. */
    public enum Role {
        ROUTER,
        AGENT
    }

    /** Returns the identity of a router. */
    public static Peer router(String name, long incarnation) {
        return new Peer(Role.ROUTER, name, incarnation);
    }

    /** Returns the identity of an agent. */
    public static Peer agent(String name, long incarnation) {
        return new Peer(Role.AGENT, name, incarnation);
    }
}
