package org.tanagerhinge.core.duty;

import java.time.Duration;

/**
 * Holds the settings of duties on one node.
 *
 * @param node name of this node
 * @param leaseDuration time to live of the holder's lease
 * @param cooldown how long a node that has lost a duty or has just started does not stand for election
 * @param fencingEnforced whether the platform rejects calls with an outdated fencing token
 * @param maxCallDelay how long after sending an unanswered call may still be executed
 * @param windowLength length of a usage window
 * @param reportDeadline how long after the end of a window its report is due
 */
public record DutySettings(
        String node,
        Duration leaseDuration,
        Duration cooldown,
        boolean fencingEnforced,
        Duration maxCallDelay,
        Duration windowLength,
        Duration reportDeadline) {
    /** Minimum time to keep committed windows in the store; longer than any window may still be reported. */
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

    /** Returns the number of the window that contains a median-clock time. */
    long windowAt(long epochMillis) {
        return Math.floorDiv(epochMillis, windowMillis());
    }

    /** Returns the median-clock time at which a window ends, in milliseconds since the Unix epoch. */
    long windowEndMillis(long window) {
        return (window + 1) * windowMillis();
    }

    /** Returns how many windows before the newest one are kept. */
    long retainedWindows() {
        return (RETENTION.toMillis() + reportDeadlineMillis()) / windowMillis() + 2;
    }
}
