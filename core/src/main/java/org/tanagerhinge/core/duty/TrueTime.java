package org.tanagerhinge.core.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * True time, as the median of the clocks of this host and its peers: the clocks of some hosts may be stepped, and counts must
 * not move into other windows with them. Right as long as fewer than half of the clocks are wrong.
 */
public final class TrueTime {
    private final DutyClock clock;
    private final Map<String, Long> offsets = new HashMap<>();

    private TrueTime(DutyClock clock) {
        this.clock = clock;
    }

    /** Returns the time of a node that has heard no peer yet: that of its own clock. */
    public static TrueTime of(DutyClock clock) {
        return new TrueTime(clock);
    }

    /** A peer has just told the time of day by its clock. */
    public void heard(String peer, long timeOfDayMillis) {
        offsets.put(peer, timeOfDayMillis - clock.steadyMillis());
    }

    /** Forgets peers other than these. */
    public void retain(Set<String> peers) {
        offsets.keySet().retainAll(peers);
    }

    /** Returns the true time in milliseconds since the start of 1970, as far as it can be known. */
    public long millis() {
        long[] all = new long[offsets.size() + 1];
        int index = 0;
        for (long offset : offsets.values()) {
            all[index++] = offset;
        }
        all[index] = clock.timeOfDayMillis() - clock.steadyMillis();
        Arrays.sort(all);
        return all[all.length / 2] + clock.steadyMillis();
    }
}
