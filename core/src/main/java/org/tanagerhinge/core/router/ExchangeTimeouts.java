package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;

/** Enforces the timeouts of exchanges: the deadline, the claim, the unresolved attempt and the stalled stream. */
final class ExchangeTimeouts {
    private final RouterCore core;
    private final IdempotencyClaims claims;
    private final RouterOptions options;

    ExchangeTimeouts(RouterCore core, IdempotencyClaims claims, RouterOptions options) {
        this.core = core;
        this.claims = claims;
        this.options = options;
    }

    /** Refuses or retries an exchange that has exceeded one of its timeouts, and repeats pending queries. */
    void check(Exchange exchange, Instant now) {
        Duration timeLeft = exchange.timeLeft(now);
        boolean overdue = timeLeft.plus(options.deadlineGrace()).isNegative();
        switch (exchange.machine().state()) {
            case CLAIMING -> {
                if (timeLeft.isNegative()) {
                    core.refuse(
                            exchange,
                            RequestFailure.notRun(
                                    ResultCode.CLAIMS_UNSETTLED,
                                    RouterCore.DEFAULT_RETRY_AFTER,
                                    "the store did not decide the claim of the key before the deadline"));
                } else if (exchange.lastQueriedAt()
                        .plus(RouterCore.QUERY_RETRY_INTERVAL)
                        .isBefore(now)) {
                    claims.requestClaim(exchange);
                }
            }
            case UNCERTAIN -> checkUncertain(exchange, now, overdue);
            case SUBMITTED, RUNNING -> {
                if (overdue) {
                    core.cancelAttempt(exchange);
                    core.refuse(
                            exchange,
                            RequestFailure.outcomeUnknown(
                                    ResultCode.ANSWER_TOO_LATE, "the answer was not complete at the deadline"));
                } else {
                    checkStall(exchange, now);
                }
            }
            default -> {}
        }
    }

    private void checkUncertain(Exchange exchange, Instant now, boolean overdue) {
        Instant waitingSince = exchange.waitingSince(now);
        if (overdue || waitingSince.plus(options.uncertainTimeout()).isBefore(now)) {
            core.refuse(
                    exchange,
                    RequestFailure.outcomeUnknown(
                            exchange.followedClaim().isPresent()
                                    ? ResultCode.OUTCOME_UNKNOWN
                                    : ResultCode.CONNECTION_LOST,
                            "the agent that was sent the request did not report its outcome"));
        } else if (exchange.lastQueriedAt()
                .plus(RouterCore.QUERY_RETRY_INTERVAL.multipliedBy(5))
                .isBefore(now)) {
            claims.attach(exchange);
        }
    }

    private void checkStall(Exchange exchange, Instant now) {
        boolean retriesDisabled = options.policy() instanceof RouterOptions.Policy.RoundRobin;
        if (retriesDisabled || !exchange.idempotent() || !exchange.in(ExchangeState.RUNNING)) {
            return;
        }
        if (exchange.callerBehind()) {
            // The agent stops reading from a server whose caller is far behind.
            return;
        }
        Duration timeout = exchange.deliveredUnits() > 0 ? options.stallTimeout() : options.firstOutputTimeout();
        boolean retryDue =
                exchange.lastQueriedAt().plus(RouterCore.QUERY_RETRY_INTERVAL).isBefore(now);
        if (exchange.lastProgressAt().plus(timeout).isBefore(now) && retryDue) {
            exchange.lastQueriedAt(now);
            core.replaceStalledAttempt(exchange);
        }
    }
}
