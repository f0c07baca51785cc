package org.tanagerhinge.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Divides the descriptors of the process among its listeners; as many as callers may use are left for connections to backend
 * servers.
 *
 * @param callers most connections of callers
 * @param status most connections for readiness checks and metrics, at each address
 * @param peers most connections of peers
 */
record ConnectionLimits(int callers, int status, int peers) {
    /** Descriptors that are not available for sockets. */
    private static final int FILES = 200;

    private static final int DEFAULT_DESCRIPTORS = 4_096;

    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";

    /** Returns the limits for a number of descriptors that the process may have open. */
    static ConnectionLimits of(int descriptors) {
        int sockets = Math.max(descriptors - FILES, descriptors / 2);
        return new ConnectionLimits(sockets * 7 / 16, sockets / 32, sockets / 16);
    }

    /** Returns the descriptors that the operating system allows this process, or a default if it doesn't say. */
    static int processDescriptors() {
        try (Stream<String> lines = Files.lines(PROCESS_LIMITS)) {
            return lines.filter(line -> line.startsWith(OPEN_FILES))
                    .map(line -> line.substring(OPEN_FILES.length()).trim().split(" +", 2)[0])
                    .filter(limit -> limit.matches("[0-9]{1,9}"))
                    .mapToInt(Integer::parseInt)
                    .findFirst()
                    .orElse(DEFAULT_DESCRIPTORS);
        } catch (IOException e) {
            // Not all platforms show the limits of a process.
            return DEFAULT_DESCRIPTORS;
        }
    }
}
