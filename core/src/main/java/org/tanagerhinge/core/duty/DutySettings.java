package org.tanagerhinge.core.duty;

import java.time.Duration;

/**
 * How duties are done.
 *
 * @param node name of this node
 * @param lease how long a holder that renews nothing holds a duty
 * @param rest for how long a node that lost a duty, or has just started, leaves it alone
 * @param fenced whether the platform refuses calls with an older fencing token
 * @param lateCalls how long after it was sent a call without an answer may still be carried out
 * @param window length of a usage window
 * @param lateAfter when the report of a window is late, from the window's end
 */
public record DutySettings(
        String node,
        Duration leaseDuration,
        Duration cooldown,
        boolean fencingEnforced,
        Duration maxCallDelay,
        Duration windowLength,
        Duration reportDeadline) {
    /** Windows that are kept in the store after they were reported: longer than any of them may still be reported. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    long leaseMillis() {
        return leaseDuration.toMillis();
    }

    long cooldownMillis() {
        return cooldown.toMillis();
    }

    long maxCallDelayMillis() {
        return maxCallDelay.toMillis();
    }

    long windowMillis() {
        return windowLength.toMillis();
    }

    long reportDeadlineMillis() {
        return reportDeadline.toMillis();
    }

    /** Returns the number of the window in which a moment of true time lies. */
    long windowAt(long epochMillis) {
        return Math.floorDiv(epochMillis, windowMillis());
    }

    /** Returns the moment of true time at which a window ends. */
    long windowEndMillis(long window) {
        return (window + 1) * windowMillis();
    }

    /** Returns how many windows stay in the store behind the newest one. */
    long retainedWindows() {
        return (RETENTION.toMillis() + reportDeadlineMillis()) / windowMillis() + 2;
    }
}
