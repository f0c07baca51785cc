package org.tanagerhinge.node.log;

import java.util.Locale;

/** Names of the fields of log lines; docs/OPERATIONS.md tells what each holds, and a test keeps the two equal. */
public enum LogField {
    /** Id of the caller's request. */
    ID,
    /** Equal for the same request under another id. */
    FINGERPRINT,
    ROUTE,
    WORKSPACE,
    PROFILE,
    SERVICE,
    /** Backend server, or peer, that the line is about. */
    SERVER,
    /** Version of the configuration that decided. */
    CONFIG,
    /** Time since the list of servers was asked for that decided. */
    SERVERS_AGE_MS,
    /** Other nodes that were heard of late. */
    PEERS,
    RANK,
    /** Ranks in force, of workspaces and of each service's routes: what levels are made of. */
    RANKS,
    /** How urgent the server was told the request is, 0 first. */
    LEVEL,
    /** Time until the request is given up. */
    LEFT_MS,
    /** Number of the attempt, from 1; at the end how many there were. */
    ATTEMPT,
    /** Servers that the attempt could have gone to. */
    CANDIDATES,
    /** Requests of all nodes at the server, as far as they were known. */
    RUNNING,
    /** Prompt tokens that the server had still to read, as far as they were known. */
    READING,
    /** Prompt tokens of this request that the server was expected to read. */
    TO_READ,
    /** Its place in the order in which prompts of its rank are read, 0 first. */
    STEP,
    /** Prompt tokens that the server should fetch from another one in place of reading them. */
    FETCH,
    /** The server from which it should fetch them. */
    FETCH_FROM,
    /** How an attempt ended, or with what outcome a request did. */
    END,
    WHY,
    /** What is known of whether the request ran. */
    RUN,
    /** Last event of a stream that was passed on. */
    EVENT_ID,
    STATUS,
    /** Numbered result. */
    CODE,
    RETRY_AFTER_MS,
    /** Time since the request's last byte, or since the beginning of what the line is about. */
    MS,
    FIRST_MS,
    /** Longest pause between two events of a stream. */
    PAUSE_MS,
    /** Whether the answer missed its route's target or allowed pause. */
    LATE,
    /** Key of the platform's store. */
    KEY,
    /** Fencing token of the holding of a duty. */
    TOKEN,
    /** Number of a usage window. */
    WINDOW,
    /** Nodes whose counts of the window are complete, and nodes that were known. */
    HEARD,
    KNOWN,
    /** Time for which the lease of the duty is proven to run on. */
    LEASE_LEFT_MS,
    UNITS,
    ROUTES,
    COUNT;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the name in a line. */
    public String label() {
        return label;
    }
}
