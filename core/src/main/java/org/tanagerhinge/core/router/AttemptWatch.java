package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import org.tanagerhinge.core.result.Refusal;
import org.tanagerhinge.core.result.ResultCode;

/** Looks several times a second whether an exchange has waited too long. */
final class AttemptWatch {
    private final RouterCore core;
    private final KeyClaims claims;
    private final RouterOptions options;

    AttemptWatch(RouterCore core, KeyClaims claims, RouterOptions options) {
        this.core = core;
        this.claims = claims;
        this.options = options;
    }

    /** Ends or moves an exchange whose time is up, whose server has stalled, or whose claim is not decided. */
    void watch(Exchange exchange, Instant now) {
        Duration timeLeft = exchange.timeLeft(now);
        boolean overdue = timeLeft.plus(options.verdictGrace()).isNegative();
        switch (exchange.machine().state()) {
            case CLAIMING -> {
                if (timeLeft.isNegative()) {
                    core.refuse(
                            exchange,
                            Refusal.notRun(
                                    ResultCode.CLAIMS_UNSETTLED,
                                    RouterCore.COME_BACK,
                                    "the store did not decide in time"));
                } else if (exchange.lastAsked().plus(RouterCore.ASK_AGAIN).isBefore(now)) {
                    claims.ask(exchange);
                }
            }
            case UNCERTAIN -> watchDoubt(exchange, now, overdue);
            case SUBMITTED, RUNNING -> {
                if (overdue) {
                    core.letGo(exchange);
                    core.refuse(exchange, Refusal.unknown(ResultCode.ANSWER_TOO_LATE, "its deadline has passed"));
                } else {
                    watchStall(exchange, now);
                }
            }
            default -> {}
        }
    }

    private void watchDoubt(Exchange exchange, Instant now, boolean overdue) {
        Instant since = exchange.waitingSince(now);
        if (overdue || since.plus(options.doubtPatience()).isBefore(now)) {
            core.refuse(
                    exchange,
                    Refusal.unknown(
                            exchange.followed().isPresent() ? ResultCode.OUTCOME_UNKNOWN : ResultCode.CONNECTION_LOST,
                            "its agent is out of reach"));
        } else if (exchange.lastAsked()
                .plus(RouterCore.ASK_AGAIN.multipliedBy(5))
                .isBefore(now)) {
            claims.attach(exchange);
        }
    }

    private void watchStall(Exchange exchange, Instant now) {
        boolean naive = options.policy() instanceof RouterOptions.Policy.RoundRobin;
        if (naive || !exchange.idempotent() || !exchange.in(ExchangeState.RUNNING)) {
            return;
        }
        Duration patience = exchange.deliveredUnits() > 0 ? options.stallTimeout() : options.firstOutputTimeout();
        if (exchange.lastProgress().plus(patience).isBefore(now)) {
            core.letGo(exchange);
            core.lost(exchange, ResultCode.STALLED, "its backend server stopped producing");
        }
    }
}
