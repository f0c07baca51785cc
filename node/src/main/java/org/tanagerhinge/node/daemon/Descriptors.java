package org.tanagerhinge.node.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Tells how many descriptors a process may use for sockets, of which its listeners get parts. */
public final class Descriptors {
    /** Descriptors that are not available for sockets. */
    private static final int FILES = 200;

    private static final int DEFAULT_DESCRIPTORS = 4_096;
    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";

    private Descriptors() {}

    /** Returns how many of a number of descriptors are available for sockets. */
    public static int forSockets(int descriptors) {
        return Math.max(descriptors - FILES, descriptors / 2);
    }

    /** Returns the descriptors that the operating system allows this process, or a default if it doesn't say. */
    public static int ofProcess() {
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
