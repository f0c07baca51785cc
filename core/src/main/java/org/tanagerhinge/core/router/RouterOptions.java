package org.tanagerhinge.core.router;

import java.time.Duration;
import org.tanagerhinge.core.attempt.AttemptLimits;
import org.tanagerhinge.core.id.FailureDomain;

/**
 * Holds the limits and timeouts of a router.
 *
 * @param maxLinksPerTarget maximum number of agents of one model or service that this router connects to
 * @param routers approximate number of routers, among which the retry slack is divided
 * @param retryRatio retries allowed per request of a profile in the retry window
 * @param retrySlack retries of a profile allowed in the window in addition, of all routers together
 * @param retryWindow length of the sliding window in which retries are counted
 * @param maxNotRunRetries maximum number of times a request that agents return as not run is sent to another agent
 * @param claimTimeout how long a keyed request waits for the platform's store
 * @param uncertainTimeout how long a non-idempotent request waits for the outcome of an unresolved attempt
 * @param stallTimeout maximum gap in a stream before an idempotent request is resumed at another server
 * @param firstOutputTimeout how long an idempotent request may run without output before it is retried at another
 *     server
 * @param deadlineGrace how long after the deadline the router waits for the agent's result
 * @param heartbeatInterval interval at which a heartbeat is sent on each link
 * @param maxExchanges maximum number of requests in flight
 * @param policy how a server is chosen and whether failed attempts are retried
 */
public record RouterOptions(
        FailureDomain failureDomain,
        int maxLinksPerTarget,
        int routers,
        double retryRatio,
        int retrySlack,
        Duration retryWindow,
        int maxNotRunRetries,
        Duration claimTimeout,
        Duration uncertainTimeout,
        Duration stallTimeout,
        Duration firstOutputTimeout,
        Duration deadlineGrace,
        Duration heartbeatInterval,
        int maxExchanges,
        Policy policy) {

    /** Selects how a server is chosen and whether failed attempts are retried. */
    public sealed interface Policy {
        /** Least expected time; failed attempts are retried within the budget and resumed. */
        record LeastTime() implements Policy {}

        /** Round robin without retries, as a baseline for comparison. */
        record RoundRobin() implements Policy {}
    }

    /** Returns the defaults for a router in a failure domain. */
    public static RouterOptions defaults(FailureDomain failureDomain) {
        return new RouterOptions(
                failureDomain,
                24,
                2,
                0.2,
                20,
                Duration.ofSeconds(10),
                3,
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                Duration.ofSeconds(3),
                Duration.ofSeconds(10),
                Duration.ofMillis(250),
                Duration.ofSeconds(1),
                20_000,
                new Policy.LeastTime());
    }

    /** Returns these options with another policy. */
    public RouterOptions withPolicy(Policy next) {
        return new RouterOptions(
                failureDomain,
                maxLinksPerTarget,
                routers,
                retryRatio,
                retrySlack,
                retryWindow,
                maxNotRunRetries,
                claimTimeout,
                uncertainTimeout,
                stallTimeout,
                firstOutputTimeout,
                deadlineGrace,
                heartbeatInterval,
                maxExchanges,
                next);
    }

    /** Returns these options with another number of routers. */
    public RouterOptions withRouters(int next) {
        return new RouterOptions(
                failureDomain,
                maxLinksPerTarget,
                next,
                retryRatio,
                retrySlack,
                retryWindow,
                maxNotRunRetries,
                claimTimeout,
                uncertainTimeout,
                stallTimeout,
                firstOutputTimeout,
                deadlineGrace,
                heartbeatInterval,
                maxExchanges,
                policy);
    }

    /** Returns these options with other limits of retries. */
    public RouterOptions withRetryBudget(double nextRatio, int nextSlack) {
        return new RouterOptions(
                failureDomain,
                maxLinksPerTarget,
                routers,
                nextRatio,
                nextSlack,
                retryWindow,
                maxNotRunRetries,
                claimTimeout,
                uncertainTimeout,
                stallTimeout,
                firstOutputTimeout,
                deadlineGrace,
                heartbeatInterval,
                maxExchanges,
                policy);
    }

    /** Returns these options with another maximum of links per target. */
    public RouterOptions withMaxLinksPerTarget(int next) {
        return new RouterOptions(
                failureDomain,
                next,
                routers,
                retryRatio,
                retrySlack,
                retryWindow,
                maxNotRunRetries,
                claimTimeout,
                uncertainTimeout,
                stallTimeout,
                firstOutputTimeout,
                deadlineGrace,
                heartbeatInterval,
                maxExchanges,
                policy);
    }

    /** Returns these options with another maximum of requests in flight. */
    public RouterOptions withMaxExchanges(int next) {
        return new RouterOptions(
                failureDomain,
                maxLinksPerTarget,
                routers,
                retryRatio,
                retrySlack,
                retryWindow,
                maxNotRunRetries,
                claimTimeout,
                uncertainTimeout,
                stallTimeout,
                firstOutputTimeout,
                deadlineGrace,
                heartbeatInterval,
                next,
                policy);
    }

    /** Returns the limits for the attempts of one request; runs are limited by the retry budget alone. */
    AttemptLimits attemptLimits(boolean idempotent) {
        return new AttemptLimits(idempotent, Integer.MAX_VALUE, maxNotRunRetries, Integer.MAX_VALUE);
    }
}
