package org.tanagerhinge.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Opens the listening socket for callers before the rest of the program is loaded.
 *
 * <p>After a restart, callers that connect during startup wait in the socket's backlog instead of being reset. The
 * address is taken from the settings file by a plain text search; if that fails, the socket is opened later, after the
 * settings are validated.
 */
public final class EarlyListener {
    private static final int BACKLOG = 1024;
    /**
     * Prefix of the line with the address. Searched without a regular expression, whose classes take 25 ms to load
     * before the socket is open.
     */
    private static final String LISTEN_KEY = "listen = ";

    private EarlyListener() {}

    /** Opens the socket that a settings file names; empty if the address is not in plain form or not available. */
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
            ServerSocketChannel channel = bounded(ServerSocketChannel.open());
            channel.bind(new InetSocketAddress(InetAddress.ofLiteral(ip), port), BACKLOG);
            return Optional.of(channel);
        } catch (IOException | IllegalArgumentException e) {
            // The settings are validated later, and their errors are reported then.

            return Optional.empty();
        }
    }

    /** Bounds the bytes that the kernel keeps for each connection that is accepted; they count as memory of the process. */
    static ServerSocketChannel bounded(ServerSocketChannel channel) throws IOException {
        return channel.setOption(StandardSocketOptions.SO_RCVBUF, CallerConnection.RECEIVE_BUFFER_BYTES / 2);
    }
}
