package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against origins of streams that are lost too early, replaced by others, or kept without bound. */
class StreamOriginsTest {
    private static final StreamOrigin FIRST = new StreamOrigin("model", "v1");
    private static final StreamOrigin SECOND = new StreamOrigin("model", "v2");

    private final StreamOrigins origins = StreamOrigins.create();

    private Optional<StreamOrigin> found(StreamId stream, long nowMillis) {
        return origins.find(stream, nowMillis).map(StreamOrigins.Known::origin);
    }

    @Test
    void streamsOfTwoWorkspacesWithEqualAttemptIdsDiffer() {
        assertNotEquals(StreamId.of("a", "attempt-1"), StreamId.of("b", "attempt-1"));
    }

    @Test
    void reportDoesNotReplaceWhatThisNodeHasSeen() {
        StreamId stream = StreamId.of("a", "attempt-1");
        origins.recordLocal(stream, FIRST, false, 0);
        origins.recordReported(stream, SECOND, 10);
        assertEquals(Optional.of(FIRST), found(stream, 20));
    }

    @Test
    void originExpiresUnlessItIsRecordedAgain() {
        StreamId ended = StreamId.of("a", "ended");
        StreamId open = StreamId.of("a", "open");
        origins.recordLocal(ended, FIRST, false, 0);
        origins.recordLocal(open, FIRST, false, 0);
        origins.recordLocal(open, FIRST, false, StreamOrigins.REFRESH_MILLIS);
        long laterMillis = StreamOrigins.RETENTION_MILLIS + 1;
        origins.removeExpired(laterMillis);
        assertEquals(Optional.empty(), found(ended, laterMillis));
        assertEquals(Optional.of(FIRST), found(open, laterMillis));
        assertEquals(1, origins.size());
    }

    @Test
    void onlyStreamsOfThisNodeAreReportedAgain() {
        StreamId own = StreamId.of("a", "own");
        origins.recordLocal(own, FIRST, true, 0);
        origins.recordReported(StreamId.of("a", "other"), SECOND, 0);
        assertEquals(
                List.of(new StreamOrigins.Resumable(new StreamOrigins.Begun(own, FIRST), true)), origins.resumable(1));
        assertTrue(origins.resumable(StreamOrigins.RETENTION_MILLIS).isEmpty());
    }

    @Test
    void oldestStreamIsEvictedWhenTheTableIsFull() {
        StreamId oldest = StreamId.of("a", "oldest");
        origins.recordLocal(oldest, FIRST, false, 0);
        for (int i = 0; i < StreamOrigins.MAX_STREAMS; i++) {
            origins.recordReported(new StreamId(0, i), FIRST, 1);
        }
        assertEquals(StreamOrigins.MAX_STREAMS, origins.size());
        assertEquals(Optional.empty(), found(oldest, 2));
    }
}
