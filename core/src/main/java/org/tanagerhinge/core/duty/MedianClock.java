package org.tanagerhinge.core.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * True time, as the median of the clocks of this host and its peers: the clocks of some hosts may be stepped, and counts must
 * not move into other windows with them. Right as long as fewer than half of the clocks are wrong.
 */
public final class MedianClock {
    private final NodeClock clock;
    private final Map<String, Long> peerOffsetsMillis = new HashMap<>();

    private MedianClock(NodeClock clock) {
        this.clock = clock;
    }

    /** Returns the time of a node that has heard no peer yet: that of its own clock. */
    public static MedianClock of(NodeClock clock) {
        return new MedianClock(clock);
    }

    /** A peer has just told the time of day by its clock. */
    public void recordPeerTime(String peer, long wallClockMillis) {
        peerOffsetsMillis.put(peer, wallClockMillis - clock.steadyMillis());
    }

    /** Forgets peers other than these. */
    public void retainPeers(Set<String> peers) {
        peerOffsetsMillis.keySet().retainAll(peers);
    }

    /** Returns the true time in milliseconds since the start of 1970, as far as it can be known. */
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
