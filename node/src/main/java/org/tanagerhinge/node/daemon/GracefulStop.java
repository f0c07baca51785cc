package org.tanagerhinge.node.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;

/** Stops a daemon: lets it finish what is in flight, up to its stop timeout, and closes it. */
public final class GracefulStop {
    /**
     * Time until load balancers stop sending connections to a node that is not ready any more: two missed readiness
     * checks, one second apart, and a margin.
     */
    public static final Duration READINESS_DETECTION = Duration.ofMillis(2_600);

    private static final Logger LOG = System.getLogger(GracefulStop.class.getName());
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private GracefulStop() {}

    /**
     * Stops a daemon and waits for the end.
     *
     * @param requestedNanos steady time at which the stop was requested, from which the stop timeout counts, in nanoseconds
     * @return whether nothing was left in flight
     */
    public static boolean run(Daemon daemon, long requestedNanos) {
        long deadlineNanos = requestedNanos + daemon.stopTimeout().toNanos();
        daemon.beginStop(Duration.ofNanos(deadlineNanos - System.nanoTime()));
        try {
            while (!isDrained(daemon) && System.nanoTime() - deadlineNanos < 0) {
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        boolean drained = isDrained(daemon);
        LogLine.of(LogEvent.CLOSING, !drained)
                .with(LogField.MS, (System.nanoTime() - requestedNanos) / 1_000_000)
                .write();
        daemon.close();
        return drained;
    }

    /** Returns whether a daemon says that it is drained; one that can't tell is asked again, not closed. */
    private static boolean isDrained(Daemon daemon) {
        try {
            return daemon.isDrained();
        } catch (IllegalStateException e) {
            LOG.log(Level.WARNING, "it is not known whether the daemon is drained", e);
            return false;
        }
    }
}
