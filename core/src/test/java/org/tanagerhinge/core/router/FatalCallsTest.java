package org.tanagerhinge.core.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.id.ServerId;

/** Which failed runs count against a call. */
class FatalCallsTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);

    private final RequestFingerprint call = new RequestFingerprint(1, 7);
    private final FatalCalls calls = new FatalCalls();

    private void failAt(String server, long second) {
        calls.failed(new ServerId(server), call, START.plusSeconds(second));
    }

    private int downAt(String server, long second) {
        return calls.down(new ServerId(server), START.plusSeconds(second));
    }

    @Test
    void threeServersThatWereDownAfterItHoldACall() {
        for (int i = 0; i < 2; i++) {
            failAt("engine-" + i, i);
            assertEquals(0, downAt("engine-" + i, i));
        }
        failAt("engine-2", 3);
        assertTrue(calls.held(call, START.plusSeconds(3)).isEmpty());
        assertEquals(1, downAt("engine-2", 3));
        assertTrue(calls.held(call, START.plusSeconds(3)).isPresent());
    }

    /** A server that fails runs and stays up is another matter: its failures are bounded by the retries' budget. */
    @Test
    void failedRunsOfServersThatStayUpDoNotCount() {
        for (int i = 0; i < 9; i++) {
            failAt("engine-" + i, i);
        }
        assertTrue(calls.held(call, START.plusSeconds(9)).isEmpty());
    }

    @Test
    void aServerThatIsDownMuchLaterWasNotEndedByIt() {
        for (int i = 0; i < 3; i++) {
            failAt("engine-" + i, 0);
            assertEquals(0, downAt("engine-" + i, 5));
        }
        assertTrue(calls.held(call, START.plusSeconds(5)).isEmpty());
    }

    @Test
    void aCallThatAServerRanToItsEndIsCleared() {
        for (int i = 0; i < 3; i++) {
            failAt("engine-" + i, i);
            downAt("engine-" + i, i);
            calls.served(call, START.plusSeconds(i).plusMillis(500));
        }
        assertTrue(calls.held(call, START.plusSeconds(4)).isEmpty());
    }
}
