package org.tanagerhinge.gateway;

import org.tanagerhinge.node.daemon.Descriptors;

/**
 * Divides the descriptors of the process among its listeners; as many as callers may use are left for connections to backend
 * servers.
 *
 * @param callers most connections of callers
 * @param status most connections for readiness checks and metrics, at each address
 * @param peers most connections of peers
 */
record ConnectionLimits(int callers, int status, int peers) {
    /** Returns the limits for a number of descriptors that the process may have open. */
    static ConnectionLimits of(int descriptors) {
        int sockets = Descriptors.forSockets(descriptors);
        return new ConnectionLimits(sockets * 7 / 16, sockets / 32, sockets / 16);
    }
}
