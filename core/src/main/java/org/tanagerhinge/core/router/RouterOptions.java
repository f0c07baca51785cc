package org.tanagerhinge.core.router;

import java.time.Duration;
import org.tanagerhinge.core.attempt.AttemptTerms;
import org.tanagerhinge.core.id.FailureDomain;

/**
 * The settings that bound a router.
 *
 * @param linksPerTarget agents of one model or service that this router connects to at the most
 * @param retryRatio retries for each request of a class in the retry window
 * @param retrySlack retries of a class in a window besides
 * @param retryWindow window in which retries are counted
 * @param mostReturns how often a request that agents give back as not run is offered to another
 * @param claimPatience how long a keyed request waits for the platform's store
 * @param doubtPatience how long a non-idempotent request waits for the agent that had it
 * @param stallTimeout how long a stream may pause before an idempotent request is resumed elsewhere
 * @param firstOutputTimeout how long an idempotent request may run without any output before it is tried elsewhere
 * @param verdictGrace how long past the deadline an agent's word on a request is waited for
 * @param heartbeat how often a silent link shows a sign of life
 * @param mostExchanges requests in progress at the most
 * @param policy how an agent is chosen and what happens when an attempt fails
 */
public record RouterOptions(
        FailureDomain failureDomain,
        int maxLinksPerTarget,
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

    /** How an agent is chosen and what happens when an attempt fails. */
    public sealed interface Policy {
        /** Least expected time, retries within budget, resumption. */
        record LeastTime() implements Policy {}

        /** Each agent in turn, and no second attempt: the naive version that the product is measured against. */
        record RoundRobin() implements Policy {}
    }

    /** Returns the defaults for a router in a failure domain. */
    public static RouterOptions defaults(FailureDomain failureDomain) {
        return new RouterOptions(
                failureDomain,
                24,
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

    /** Returns these options with another bound of links. */
    public RouterOptions withMaxLinksPerTarget(int next) {
        return new RouterOptions(
                failureDomain,
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

    /** Returns these options with another bound of requests in progress. */
    public RouterOptions withMaxExchanges(int next) {
        return new RouterOptions(
                failureDomain,
                maxLinksPerTarget,
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

    /** Returns how often one request may be sent: as often as the budget allows while servers may have run it. */
    AttemptTerms attemptLimits(boolean idempotent) {
        return new AttemptTerms(idempotent, Integer.MAX_VALUE, maxNotRunRetries, Integer.MAX_VALUE);
    }
}
