package org.tanagerhinge.node.log;

import java.util.Locale;

/** Fields of log lines; docs/OPERATIONS.md describes each, and a test checks that none is missing there. */
public enum LogField {
    /** Id of the caller's request. */
    ID,
    /** Equal for requests with the same content, whatever their ids. */
    FINGERPRINT,
    /** Ids of the prompt parts that other requests may share, in order. */
    PARTS,
    /** Id of a prompt part, or ids of several that can't be told apart. */
    PART,
    /** Parts that are suspected of crashing servers, each with its number of crashes. */
    SUSPECTS,
    ROUTE,
    WORKSPACE,
    PROFILE,
    SERVICE,
    /** Backend server or peer that the line is about. */
    SERVER,
    /** Version of the backend server's software. */
    SOFTWARE,
    /** Id of the caller's attempt that brought the first event of the stream that it resumes. */
    RESUMES,
    /** Version of the configuration that the decision used. */
    CONFIG,
    /** Age of the server list that the decision used: time since it was requested. */
    SERVERS_AGE_MS,
    /** Number of other nodes from which a report was received recently. */
    PEERS,
    RANK,
    /** Active ranks of workspaces and of each service's routes, from which levels are computed. */
    RANKS,
    /** Requests of a rank at a service that arrived in the last seconds. */
    ASKED,
    /** Of the requests of a rank, those with a first output. */
    BEGUN,
    /** Of the requests of a rank, those with a whole answer. */
    SERVED,
    /** Requests of a rank without a whole answer, by cause. */
    LOST,
    /** Requests of less urgent ranks of the service with a first output. */
    LESS_URGENT_BEGUN,
    /** Priority level that was sent to the server; 0 is the most urgent. */
    LEVEL,
    /** Time left until the request's deadline. */
    LEFT_MS,
    /** Number of the attempt, from 1; in the line about a request's end, the number of attempts. */
    ATTEMPT,
    /** Retries of the service that this node took in the window of the retry budget. */
    RETRIES,
    /** Retries of the service that this node could still take. */
    RETRIES_LEFT,
    /** Number of nodes among which the fixed part of the retry budget is divided. */
    NODES,
    /** Number of servers that were eligible for the attempt. */
    CANDIDATES,
    /** Known requests of all nodes in flight at the server. */
    RUNNING,
    /** Known prompt tokens that the server had still to prefill. */
    READING,
    /** Prompt tokens of this request that the server was expected to prefill. */
    TO_READ,
    /** Step within the rank, which orders the prefill of prompts; 0 is the first. */
    STEP,
    /** Work time of the server's host at the decision, in percent of nominal. */
    WORK_TIME,
    /** Prompt tokens of a cached prefix that the server should fetch from another server instead of prefilling them. */
    FETCH,
    /** Server from which the prefix should be fetched. */
    FETCH_FROM,
    /** Outcome of an attempt or a request. */
    END,
    WHY,
    /** Whether the request ran, as far as known. */
    RUN,
    /** Id of the last stream event that was passed on. */
    EVENT_ID,
    STATUS,
    /** Number of the result code. */
    CODE,
    RETRY_AFTER_MS,
    /** Time since the request's last byte, or since the start of what the line is about. */
    MS,
    FIRST_MS,
    /** Longest gap between two events of a stream. */
    PAUSE_MS,
    /** Time since the server sent anything to this node, although it has begun to answer. */
    SILENT_MS,
    /** How much later than planned the event loop made its last check of servers; what they sent may wait to be read. */
    LOOP_DELAY_MS,
    /** Whether the answer missed its route's target or maximum event gap. */
    LATE,
    /** Key of the platform's store. */
    KEY,
    /** Era of the platform's store; rises each time the store is restored from an older copy. */
    ERA,
    /** Revision of the platform's store. */
    REVISION,
    /** How a configuration was received: by a read or a watch of the store, or from a peer. */
    SOURCE,
    /** Time since the first gateway received the configuration from the store. */
    AGE_MS,
    /** Work per second that a workspace may have of a service that is short of capacity. */
    SHARE,
    /** Work per second that a workspace asks for. */
    USE,
    /** Age of the oldest figure of a peer in a decision; -1 if there was none. */
    PEER_USES_AGE_MS,
    /** Fencing token of the duty's holder. */
    TOKEN,
    /** Number of a usage window. */
    WINDOW,
    /** Number of nodes whose counts of the window are complete. */
    HEARD,
    /** Number of known nodes. */
    KNOWN,
    /** Minimum remaining time of the duty's lease. */
    LEASE_LEFT_MS,
    /** New connections of callers per second. */
    CONNECTIONS,
    /** Memory that requests and answers of callers take, as accounted for. */
    HELD_BYTES,
    /** Bytes of answers that were written but not yet taken by the kernel. */
    UNSENT_BYTES,
    UNITS,
    ROUTES,
    COUNT,
    /** What the event loop was doing. */
    TASK,
    /** Innermost calls at the time of an error, innermost first. */
    STACK;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the field's name in log lines, in lower case. */
    public String label() {
        return label;
    }
}
