package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;

/**
 * Holds the registration of a backend server in the platform's store.
 *
 * @param id name of the server; a restarted server has a new one, or the same one with another start time
 * @param startedAtMillis start of the server's process, in milliseconds since 1970; 0 if unknown
 * @param softwareVersion version of the server's software, not of its model weights; empty if unknown
 * @param domain failure domain
 * @param slots requests that the server runs at once
 * @param draining whether the server has announced that it is leaving
 */
public record ServerRegistration(
        String id,
        long startedAtMillis,
        String softwareVersion,
        String service,
        InetSocketAddress address,
        String domain,
        int slots,
        boolean draining) {
    /**
     * Returns the id of this instance of the server. A restarted instance shares only the server's id: it has none of
     * the cached prompts and in-flight requests of the previous one, so the state of a server is kept by instance id.
     */
    public String instanceId() {
        return startedAtMillis == 0 ? id : id + "@" + startedAtMillis;
    }

    /**
     * Returns whether a later registration under the same id is of the same instance. Servers that don't state their
     * start time show a restart by another software version; a node that passes on no version shows nothing.
     */
    boolean sameInstance(ServerRegistration later) {
        return startedAtMillis == later.startedAtMillis()
                && (softwareVersion.equals(later.softwareVersion())
                        || softwareVersion.isEmpty()
                        || later.softwareVersion().isEmpty());
    }
}
