package org.tanagerhinge.core.memory;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Bounds the memory that connections hold of what was sent to them, over all of them together.
 *
 * <p>If the bound is reached, the connection that has occupied most memory for the longest time has to give up an unfinished
 * request. A quarter is reserved for connections that hold little, so that small requests are read while large ones fill the
 * rest. May be used by several threads.
 */
public final class MemoryBound {
    /** Memory up to which a connection may use the reserved part. */
    public static final long SMALL_BYTES = 64 << 10;

    private static final double LARGE_SHARE = 0.75;

    private final LongSupplier limitBytes;
    private final LongSupplier clock;
    private final Set<Share> shares = new HashSet<>();
    private long heldBytes;
    private long heldByLargeBytes;
    private long evictions;

    /**
     * Creates a bound.
     *
     * @param limitBytes current bound in bytes
     * @param clock steady clock in milliseconds
     */
    public MemoryBound(LongSupplier limitBytes, LongSupplier clock) {
        this.limitBytes = limitBytes;
        this.clock = clock;
    }

    /** A connection that holds memory. */
    public interface Holder {
        /** Returns the bytes that it can give up now, 0 if none. */
        long evictableBytes();

        /** Returns since when it has held them, by the clock of the bound in milliseconds. */
        long evictableSinceMillis();

        /** Gives them up, and reduces its share. */
        void evict();
    }

    /** Returns the share of a connection, which holds nothing yet. */
    public synchronized Share open(Holder holder) {
        Share share = new Share(holder);
        shares.add(share);
        return share;
    }

    /** Returns the bytes that all connections hold together. */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /** Returns how often a connection had to give up what it held, or got no more. */
    public synchronized long evictions() {
        return evictions;
    }

    private boolean makeRoom(Share share, long newBytes) {
        while (newBytes > share.bytes && exceeded(share, newBytes)) {
            evictions++;
            Share victim = largestOccupant();
            if (victim == null || victim == share) {
                return false;
            }
            long before = victim.bytes;
            victim.holder.evict();
            if (victim.bytes >= before) {
                return false;
            }
        }
        return true;
    }

    private boolean exceeded(Share share, long bytes) {
        long limit = limitBytes.getAsLong();
        return heldBytes - share.bytes + bytes > limit
                || (bytes > SMALL_BYTES && heldByLargeBytes - large(share.bytes) + bytes > LARGE_SHARE * limit);
    }

    private static long large(long bytes) {
        return bytes > SMALL_BYTES ? bytes : 0;
    }

    private Share largestOccupant() {
        long nowMillis = clock.getAsLong();
        Share largest = null;
        double most = 0;
        for (Share share : shares) {
            double occupied = (double) share.holder.evictableBytes()
                    * (1 + Math.max(0, nowMillis - share.holder.evictableSinceMillis()));
            if (occupied > most) {
                most = occupied;
                largest = share;
            }
        }
        return largest;
    }

    /** The memory that one connection holds. */
    public final class Share {
        private final Holder holder;
        private long bytes;

        private Share(Holder holder) {
            this.holder = holder;
        }

        /** Returns the bytes that the connection holds. */
        public long bytes() {
            synchronized (MemoryBound.this) {
                return bytes;
            }
        }

        /**
         * Changes the memory that the connection holds; others, or this one itself, may have to give up theirs for it.
         *
         * @return whether there is room; otherwise the share stays as it was
         */
        public boolean tryResize(long newBytes) {
            synchronized (MemoryBound.this) {
                if (!makeRoom(this, newBytes)) {
                    return false;
                }
                resize(newBytes);
                return true;
            }
        }

        /** Changes the memory that the connection holds whether or not there is room. */
        public void resize(long newBytes) {
            synchronized (MemoryBound.this) {
                heldBytes += newBytes - bytes;
                heldByLargeBytes += large(newBytes) - large(bytes);
                bytes = newBytes;
            }
        }

        /** Ends the share of a connection that was closed. */
        public void close() {
            synchronized (MemoryBound.this) {
                resize(0);
                shares.remove(this);
            }
        }
    }
}
