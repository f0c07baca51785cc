package org.tanagerhinge.core.relay;

/**
 * How often a node tells its peers what it has in progress, and how much of it in one report.
 *
 * <p>Answers the cost of reports that each go to all peers: up to about 30 peers they are as fresh as with four, beyond that
 * the bound on a node's share of processor and link makes them older in proportion.
 */
public final class ReportSchedule {
    /** Time between two reports of a node whose load hardly changes: three must be lost before it counts as away. */
    private static final long CALM_MILLIS = 250;
    /** Least time between two reports of a node whose load changes: load that is older misplaces bursts. */
    private static final long BUSY_MILLIS = 60;
    /** Reports that a node sends a second at the most, to all peers together: bounds its share of processor and link. */
    private static final int REPORTS_A_SECOND = 120;
    /** Prompt tokens given to engines since the last report that make another one due: a few short prompts or one long. */
    public static final long DUE_TOKENS = 4_000;
    /** Parts of prompts told in one report at the most: a report must fit into a datagram. */
    public static final int MOST_KEPT = 24;

    private ReportSchedule() {}

    /** Returns the least time between two reports of a node with some peers, in milliseconds. */
    public static long leastMillis(int peers) {
        return Math.max(BUSY_MILLIS, 1000L * Math.max(1, peers) / REPORTS_A_SECOND);
    }

    /** Returns the time between two reports of a node whose load hardly changes, in milliseconds. */
    public static long intervalMillis(int peers) {
        return Math.max(CALM_MILLIS, leastMillis(peers));
    }
}
