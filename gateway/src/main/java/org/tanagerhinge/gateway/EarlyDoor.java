package org.tanagerhinge.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Listens for callers before anything else is loaded.
 *
 * <p>After a restart it takes a good part of a second until the rest of the program is there. Callers that connect
 * meanwhile would be reset and have to come back; so the socket is opened first, and they wait in its queue. The address
 * is found by a look at the file; if it can't be, the socket is opened later, once the settings were read and checked.
 */
public final class EarlyDoor {
    private static final int BACKLOG = 1024;
    private static final Pattern LISTEN = Pattern.compile("(?m)^listen = ([0-9.]+):([0-9]{1,5})$");

    private EarlyDoor() {}

    /** Opens the socket that a settings file names, if it does so plainly and the address is free. */
    public static Optional<ServerSocketChannel> open(Path settings) {
        try {
            Matcher matcher = LISTEN.matcher(Files.readString(settings));
            if (!matcher.find()) {
                return Optional.empty();
            }
            ServerSocketChannel door = ServerSocketChannel.open();
            door.bind(new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))), BACKLOG);
            return Optional.of(door);
        } catch (IOException | IllegalArgumentException e) {
            // The settings are read and checked later, and what is wrong with them is reported then.
            return Optional.empty();
        }
    }
}
