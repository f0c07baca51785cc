package org.tanagerhinge.core.config;

import java.time.Duration;
import org.tanagerhinge.core.id.ProfileName;

/**
 * Describes a class of service that operators define and callers select.
 *
 * @param tier priority, 1 (highest) to 6
 * @param idempotent whether a request may be run more than once
 * @param firstTokenTarget promised time to the first token; zero for none
 * @param completionTarget promised time to the complete answer; zero for none
 * @param interTokenTarget promised mean time between tokens; zero for none
 * @param percentile percentage of requests that must meet the targets
 * @param deadline time after which the caller has no use for an answer
 * @param sharePercent share of each backend server's service guaranteed to the class while it has queued requests
 * @param maxQueuedRequests maximum number of requests of the class queued at one agent
 * @param workspaceConcurrency maximum number of concurrent requests of one workspace in the class at one router; zero
 *     for no limit
 * @param workspaceRequestsPerSecond maximum request rate of one workspace in the class at one router; zero for no
 *     limit
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
    /** The tier of the lowest priority. */
    public static final int LOWEST_TIER = 6;
}
