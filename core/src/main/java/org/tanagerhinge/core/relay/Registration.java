package org.tanagerhinge.core.relay;

import java.net.InetSocketAddress;

/**
 * A backend server as it registered itself.
 *
 * @param id incarnation; each start of a server has a new one
 * @param slots requests that it runs at once
 * @param draining whether it has said that it leaves
 */
public record Registration(
        String id, String service, InetSocketAddress address, String domain, int slots, boolean draining) {}
