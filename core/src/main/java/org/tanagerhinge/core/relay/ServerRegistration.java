package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;

/**
 * A backend server as it registered itself.
 *
 * @param id name under which it registers; a start of a server has a new one, or the same one with another {@code born}
 * @param born when the server's process started, in milliseconds since 1970; 0 if it doesn't tell
 * @param slots requests that it runs at once
 * @param draining whether it has said that it leaves
 */
public record ServerRegistration(
        String id,
        long startedAtMillis,
        String service,
        InetSocketAddress address,
        String domain,
        int slots,
        boolean draining) {
    /**
     * Returns the name of this life of the server. Two lives under one id have nothing in common but the id: the second one
     * holds no prompts and runs nothing that the first was sent, so whatever is believed of a server is kept under this name.
     */
    public String instanceId() {
        return startedAtMillis == 0 ? id : id + "@" + startedAtMillis;
    }
}
