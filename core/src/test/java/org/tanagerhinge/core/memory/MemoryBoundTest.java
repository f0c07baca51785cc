package org.tanagerhinge.core.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MemoryBoundTest {
    private static final long LIMIT = 16 * MemoryBound.SMALL_BYTES;
    private static final long LARGE = 4 * MemoryBound.SMALL_BYTES;

    private long nowMillis;
    private final MemoryBound bound = new MemoryBound(() -> LIMIT, () -> nowMillis);

    /** Holds memory since it was created; gives it up unless its request runs. */
    private final class Connection implements MemoryBound.Holder {
        private final MemoryBound.Share share = bound.open(this);
        private final long sinceMillis = nowMillis;
        private boolean running;
        private boolean evicted;

        @Override
        public long evictableBytes() {
            return running ? 0 : share.bytes();
        }

        @Override
        public long evictableSinceMillis() {
            return sinceMillis;
        }

        @Override
        public void evict() {
            evicted = true;
            share.resize(0);
        }
    }

    private Connection holding(long bytes) {
        Connection connection = new Connection();
        assertTrue(connection.share.tryResize(bytes));
        return connection;
    }

    @Test
    void whatOccupiesMostForLongestGivesWay() {
        Connection old = holding(LARGE);
        nowMillis = 1_000;
        Connection young = holding(LARGE);
        Connection small = holding(100);
        nowMillis = 1_100;
        holding(LARGE);
        holding(LARGE);
        assertTrue(old.evicted);
        assertFalse(young.evicted || small.evicted);
    }

    @Test
    void runningRequestsAreKeptAndOthersRefused() {
        for (int i = 0; i < 3; i++) {
            holding(LARGE).running = true;
        }
        Connection refused = new Connection();
        assertFalse(refused.share.tryResize(LARGE));
        assertEquals(3 * LARGE, bound.heldBytes());
        assertEquals(1, bound.evictions());
    }

    /** Guards against large requests that leave no memory for small ones. */
    @Test
    void largeConnectionsLeaveAQuarterToSmallOnes() {
        for (int i = 0; i < 3; i++) {
            holding(LARGE).running = true;
        }
        for (int i = 0; i < 4; i++) {
            holding(MemoryBound.SMALL_BYTES).running = true;
        }
        assertEquals(LIMIT, bound.heldBytes());
        assertFalse(new Connection().share.tryResize(1));
    }

    @Test
    void closedSharesHoldNothing() {
        Connection connection = holding(LARGE);
        connection.share.close();
        assertEquals(0, bound.heldBytes());
    }
}
