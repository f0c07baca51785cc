package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when failing servers are ejected and restored. */
class ServerHealthTest {
    @Test
    void consecutiveFailuresEjectUntilASingleProbeSucceeds() {
        ServerHealth health = ServerHealth.create();
        for (int i = 0; i < 3; i++) {
            assertTrue(health.usable(0));
            health.recordFailure(0);
        }
        assertFalse(health.usable(10));
        assertFalse(health.probeDue(10));
        assertTrue(health.probeDue(1_000));
        health.recordProbe(1_000);
        assertFalse(health.probeDue(1_001), "one probe at a time");
        health.recordSuccess();
        assertTrue(health.usable(1_002));
    }

    @Test
    void occasionalErrorsDoNotEject() {
        ServerHealth health = ServerHealth.create();
        for (int i = 0; i < 1_000; i++) {
            if (i % 7 == 0) {
                health.recordFailure(i);
            } else {
                health.recordSuccess();
            }
            assertTrue(health.usable(i));
        }
    }
}
