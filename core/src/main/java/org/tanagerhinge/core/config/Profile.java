package org.tanagerhinge.core.config;

import java.time.Duration;
import org.tanagerhinge.core.id.ProfileName;

/**
 * A class of service that operators define and callers pick.
 *
 * @param tier priority, 1 (highest) to 6
 * @param idempotent whether a request may be run again
 * @param firstTokenTarget time to the first token that the contract promises; zero for none
 * @param completionTarget time to the whole answer that the contract promises; zero for none
 * @param interTokenTarget mean time between tokens that the contract promises; zero for none
 * @param percentile how many in 100 requests must meet the targets
 * @param deadline after which an answer is of no use to the caller
 * @param sharePercent guaranteed part of each backend server's service while the class has work queued
 * @param maxQueuedRequests requests of the class that one agent queues at the most
 * @param workspaceConcurrency requests of one workspace in the class at one router at once; zero for no limit
 * @param workspaceRequestsPerSecond requests a second of one workspace in the class at one router; zero for no limit
 */
public record Profile(
        ProfileName name,
        int tier,
        boolean idempotent,
        Duration firstTokenTarget,
        Duration completionTarget,
        Duration interTokenTarget,
        double percentile,
        Duration deadline,
        double sharePercent,
        int maxQueuedRequests,
        int workspaceConcurrency,
        double workspaceRequestsPerSecond) {
    /** The lowest priority. */
    public static final int LOWEST_TIER = 6;
}
