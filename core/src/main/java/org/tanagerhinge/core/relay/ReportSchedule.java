package org.tanagerhinge.core.relay;

/**
 * How often a node tells its peers what it has in progress, and how much of it in one report.
 *
 * <p>Answers the cost of reports that each go to all peers: up to about 30 peers they are as fresh as with four, beyond that
 * the bound on a node's share of processor and link makes them older in proportion.
 */
public final class ReportSchedule {
    /** Time between two reports of a node whose load hardly changes: three must be lost before it counts as away. */
    private static final long IDLE_INTERVAL_MILLIS = 250;
    /** Least time between two reports of a node whose load changes: load that is older misplaces bursts. */
    private static final long MIN_INTERVAL_MILLIS = 60;
    /** Reports that a node sends a second at the most, to all peers together: bounds its share of processor and link. */
    private static final int MAX_REPORTS_PER_SECOND = 120;
    /** Prompt tokens given to engines since the last report that make another one due: a few short prompts or one long. */
    public static final long EARLY_REPORT_TOKENS = 4_000;
    /** Parts of prompts told in one report at the most: a report must fit into a datagram. */
    public static final int MAX_PROMPTS_PER_REPORT = 24;

    private ReportSchedule() {}

    /** Returns the least time between two reports of a node with some peers, in milliseconds. */
    public static long minIntervalMillis(int peerCount) {
        return Math.max(MIN_INTERVAL_MILLIS, 1000L * Math.max(1, peerCount) / MAX_REPORTS_PER_SECOND);
    }

    /** Returns the time between two reports of a node whose load hardly changes, in milliseconds. */
    public static long idleIntervalMillis(int peerCount) {
        return Math.max(IDLE_INTERVAL_MILLIS, minIntervalMillis(peerCount));
    }
}
