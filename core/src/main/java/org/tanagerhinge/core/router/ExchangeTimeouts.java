package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;

/** Looks several times a second whether an exchange has waited too long. */
final class ExchangeTimeouts {
    private final RouterCore core;
    private final IdempotencyClaims claims;
    private final RouterOptions options;

    ExchangeTimeouts(RouterCore core, IdempotencyClaims claims, RouterOptions options) {
        this.core = core;
        this.claims = claims;
        this.options = options;
    }

    /** Ends or moves an exchange whose time is up, whose server has stalled, or whose claim is not decided. */
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
                                    "the store did not decide in time"));
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
                            RequestFailure.outcomeUnknown(ResultCode.ANSWER_TOO_LATE, "its deadline has passed"));
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
                            "its agent is out of reach"));
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
        Duration timeout = exchange.deliveredUnits() > 0 ? options.stallTimeout() : options.firstOutputTimeout();
        if (exchange.lastProgressAt().plus(timeout).isBefore(now)) {
            core.cancelAttempt(exchange);
            core.onAttemptLost(exchange, ResultCode.STALLED, "its backend server stopped producing");
        }
    }
}
