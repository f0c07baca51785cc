package org.tanagerhinge.core.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses socket addresses without a name lookup, which would block the calling thread. */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_PORT_DIGITS = 5;
    /** Precedes the zone of an IPv6 address, which names an interface of one host and means nothing to others. */
    private static final char ZONE_SEPARATOR = '%';

    private SocketAddresses() {}

    /** Returns the address that a text of the form IP:PORT states, empty if it states none; e.g. 10.1.0.19:8740. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        boolean isNumber = !port.isEmpty()
                && port.length() <= MAX_PORT_DIGITS
                && port.chars().allMatch(c -> c >= '0' && c <= '9');
        if (colon < 1
                || text.indexOf(ZONE_SEPARATOR) >= 0
                || !isNumber
                || Integer.parseInt(port) < 1
                || Integer.parseInt(port) > MAX_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new InetSocketAddress(InetAddress.ofLiteral(text.substring(0, colon)), Integer.parseInt(port)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
