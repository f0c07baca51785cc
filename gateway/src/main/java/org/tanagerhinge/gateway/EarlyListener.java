package org.tanagerhinge.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Listens for callers before anything else is loaded.
 *
 * <p>After a restart it takes a good part of a second until the rest of the program is there. Callers that connect
 * meanwhile would be reset and have to come back; so the socket is opened first, and they wait in its queue. The address
 * is found by a look at the file; if it can't be, the socket is opened later, once the settings were read and checked.
 */
public final class EarlyListener {
    private static final int BACKLOG = 1024;
    /** Begins the line with the address. Found without a pattern, whose classes cost 25 ms before the socket is open. */
    private static final String LISTEN_KEY = "listen = ";

    private EarlyListener() {}

    /** Opens the socket that a settings file names, if it does so plainly and the address is free. */
    public static Optional<ServerSocketChannel> open(Path settingsFile) {
        try {
            String text = Files.readString(settingsFile);
            int line = text.startsWith(LISTEN_KEY) ? 0 : text.indexOf("\n" + LISTEN_KEY) + 1;
            int end = text.indexOf('\n', line);
            int colon = text.indexOf(':', line);
            if (!text.startsWith(LISTEN_KEY, line) || colon < 0 || colon > end) {
                return Optional.empty();
            }
            String ip = text.substring(line + LISTEN_KEY.length(), colon);
            int port = Integer.parseInt(text.substring(colon + 1, end));
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.ofLiteral(ip), port), BACKLOG);
            return Optional.of(channel);
        } catch (IOException | IllegalArgumentException e) {
            // The settings are read and checked later, and what is wrong with them is reported then.
            return Optional.empty();
        }
    }
}
