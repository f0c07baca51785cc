package org.tanagerhinge.core.relay;

/**
 * Determines how often a node reports its load to its peers, and how much one report holds.
 *
 * <p>Each report goes to all peers. Up to about 30 peers the interval doesn't depend on their number; beyond that the
 * rate limit makes it grow in proportion.
 */
public final class ReportSchedule {
    /** Interval of reports while the load hardly changes; a peer is absent after three lost reports. */
    private static final long IDLE_INTERVAL_MILLIS = 250;
    /** Shortest interval of reports while the load changes; older load misplaces bursts. */
    private static final long MIN_INTERVAL_MILLIS = 60;
    /** Limit on the reports a node sends per second to all peers together; bounds its use of CPU and network. */
    private static final int MAX_REPORTS_PER_SECOND = 120;
    /**
     * Prompt tokens sent to engines since the last report that trigger another one: a few short prompts or a long
     * one.
     */
    public static final long EARLY_REPORT_TOKENS = 4_000;
    /** Largest number of prompts whose shared parts are listed in one report, which must fit into a datagram. */
    public static final int MAX_PROMPTS_PER_REPORT = 24;
    /** Largest number of shared parts of one prompt that are listed in a report. */
    public static final int MAX_PARTS_PER_REPORTED_PROMPT = 32;

    private ReportSchedule() {}

    /** Returns the shortest interval of reports for a number of peers, in milliseconds. */
    public static long minIntervalMillis(int peerCount) {
        return Math.max(MIN_INTERVAL_MILLIS, 1000L * Math.max(1, peerCount) / MAX_REPORTS_PER_SECOND);
    }

    /** Returns the interval of reports while the load hardly changes, in milliseconds. */
    public static long idleIntervalMillis(int peerCount) {
        return Math.max(IDLE_INTERVAL_MILLIS, minIntervalMillis(peerCount));
    }
}
