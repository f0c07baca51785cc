package org.tanagerhinge.core.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.SuspectRun;
import org.tanagerhinge.core.id.ServerId;

/** Guards against quarantining a request for failures that are not server crashes, and against missing real ones. */
class CrashAttributionTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);

    private final SuspectRun request = new SuspectRun(new RequestFingerprint(1, 7), List.of());
    private final CrashAttribution attribution = new CrashAttribution();

    private void failAt(String server, long second) {
        attribution.recordFailedRun(new ServerId(server), request, START.plusSeconds(second));
    }

    private int downAt(String server, long second) {
        return attribution.recordServerDown(new ServerId(server), START.plusSeconds(second));
    }

    @Test
    void quarantinesRequestAfterThreeServersWentDownUnderIt() {
        for (int i = 0; i < 2; i++) {
            failAt("engine-" + i, i);
            assertEquals(0, downAt("engine-" + i, i));
        }
        failAt("engine-2", 3);
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(3)).isEmpty());
        assertEquals(1, downAt("engine-2", 3));
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(3)).isPresent());
    }

    /** The retry budget bounds failures of servers that stay up. */
    @Test
    void ignoresFailedRunsOfServersThatStayUp() {
        for (int i = 0; i < 9; i++) {
            failAt("engine-" + i, i);
        }
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(9)).isEmpty());
    }

    @Test
    void ignoresServerThatGoesDownAfterTheDetectionWindow() {
        for (int i = 0; i < 3; i++) {
            failAt("engine-" + i, 0);
            assertEquals(0, downAt("engine-" + i, 5));
        }
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(5)).isEmpty());
    }

    @Test
    void completedRunClearsSuspicion() {
        for (int i = 0; i < 3; i++) {
            failAt("engine-" + i, i);
            downAt("engine-" + i, i);
            attribution.recordCompletedRun(request, START.plusSeconds(i).plusMillis(500));
        }
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(4)).isEmpty());
    }

    @Test
    void quarantinesPartOfPromptsAfterThreeServersWentDownUnderDifferentRequests() {
        List<PartId> parts = List.of(PartId.of("part"));
        for (int i = 0; i < 3; i++) {
            SuspectRun run = new SuspectRun(new RequestFingerprint(1, i), parts);
            attribution.recordFailedRun(new ServerId("engine-" + i), run, START.plusSeconds(i));
            assertEquals(i == 2 ? 1 : 0, downAt("engine-" + i, i));
        }
        SuspectRun next = new SuspectRun(new RequestFingerprint(1, 9), parts);
        assertTrue(attribution.quarantinedFor(next, START.plusSeconds(3)).isPresent());
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(3)).isEmpty());
    }

    private void crashTogether() {
        for (int i = 0; i < 3; i++) {
            failAt("engine-" + i, 0);
            downAt("engine-" + i, 0);
        }
    }

    /** Guards against a sound call that is refused for ten minutes since all engines went down while they ran it. */
    @Test
    void callWhoseEnginesWentDownTogetherIsSentOnTrial() {
        crashTogether();
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(1)).isPresent());
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(6)).isEmpty());
        assertTrue(attribution.takeTrial(request, START.plusSeconds(6)));
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(7)).isPresent(), "one trial at a time");
        attribution.endTrial(request, START.plusSeconds(8));
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(9)).isEmpty(), "it did not run");
        assertTrue(attribution.takeTrial(request, START.plusSeconds(9)));
        attribution.recordCompletedRun(request, START.plusSeconds(10));
        assertFalse(attribution.takeTrial(request, START.plusSeconds(11)), "not quarantined any more");
    }

    @Test
    void callWhoseTrialTookAnEngineDownIsNotSentAgain() {
        crashTogether();
        assertTrue(attribution.takeTrial(request, START.plusSeconds(6)));
        failAt("engine-4", 7);
        attribution.endTrial(request, START.plusSeconds(12));
        downAt("engine-4", 8);
        assertTrue(attribution.quarantinedFor(request, START.plusSeconds(60)).isPresent());
        assertFalse(attribution.takeTrial(request, START.plusSeconds(60)));
    }
}
