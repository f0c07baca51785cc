package org.tanagerhinge.core.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the wall-clock time as the median over this node's clock and its peers' clocks. A stepped clock on a
 * minority of hosts therefore does not move counts into another usage window.
 */
public final class MedianClock {
    private final NodeClock clock;
    private final Map<String, Long> peerOffsetsMillis = new HashMap<>();

    private MedianClock(NodeClock clock) {
        this.clock = clock;
    }

    /** Returns a median clock that follows {@code clock} alone until peer times are recorded. */
    public static MedianClock of(NodeClock clock) {
        return new MedianClock(clock);
    }

    /** Records the wall-clock time that a peer reported just now. */
    public void recordPeerTime(String peer, long wallClockMillis) {
        peerOffsetsMillis.put(peer, wallClockMillis - clock.steadyMillis());
    }

    /** Discards the recorded times of all peers that are not in the set. */
    public void retainPeers(Set<String> peers) {
        peerOffsetsMillis.keySet().retainAll(peers);
    }

    /** Returns the time of this node's steady clock. */
    long steadyMillis() {
        return clock.steadyMillis();
    }

    /** Returns the median wall-clock time in milliseconds since the Unix epoch. */
    public long epochMillis() {
        long[] clockOffsetsMillis = new long[peerOffsetsMillis.size() + 1];
        int index = 0;
        for (long offset : peerOffsetsMillis.values()) {
            clockOffsetsMillis[index++] = offset;
        }
        clockOffsetsMillis[index] = clock.wallClockMillis() - clock.steadyMillis();
        Arrays.sort(clockOffsetsMillis);
        return clockOffsetsMillis[clockOffsetsMillis.length / 2] + clock.steadyMillis();
    }
}
