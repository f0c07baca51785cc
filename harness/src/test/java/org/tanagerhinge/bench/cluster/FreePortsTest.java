package org.tanagerhinge.bench.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.standin.FreePorts;

/**
 * Guards against "Address already in use" in tests: the kernel may return the same ephemeral port twice if the first
 * is closed before the next is requested.
 */
class FreePortsTest {
    /** Number of requested ports; ephemeral ports of the kernel almost always repeat within it. */
    private static final int DRAWS = 2_000;

    @Test
    void returnsEachPortOnlyOnce() throws IOException {
        Set<Integer> returnedPorts = new HashSet<>();
        for (int i = 0; i < DRAWS; i++) {
            int port = FreePorts.next();
            assertTrue(returnedPorts.add(port), "port " + port + " was returned twice");
        }
    }
}
