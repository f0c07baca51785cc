package org.tanagerhinge.bench.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.standin.FreePorts;

/**
 * Symptom: a test of gateways failed once in some dozens of runs of all tests, "Address already in use". Events: three ports are
 * drawn for a gateway, each let go before the next is drawn. Cause: the kernel gave one of them out twice.
 */
class FreePortsTest {
    /** With ports that the kernel chooses, as many draws have one twice nearly always. */
    private static final int DRAWS = 2_000;

    @Test
    void returnsEachPortOnlyOnce() throws IOException {
        Set<Integer> returnedPorts = new HashSet<>();
        for (int i = 0; i < DRAWS; i++) {
            int port = FreePorts.next();
            assertTrue(returnedPorts.add(port), "port " + port + " again");
        }
    }
}
