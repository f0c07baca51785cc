package org.tanagerhinge.core.router;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Ensures that a non-idempotent request with an idempotency key runs at most once, whichever router receives it.
 *
 * <p>It claims the key in the platform's store, follows the other request if that already holds the key, and queries
 * the agent of an unresolved attempt for the outcome.
 */
final class IdempotencyClaims {
    private final RouterCore core;
    private final ExchangeRegistry exchanges;
    private final AgentLinks links;
    private final RouterPort port;
    private final RouterOptions options;
    private final InstantSource clock;

    IdempotencyClaims(
            RouterCore core,
            ExchangeRegistry exchanges,
            AgentLinks links,
            RouterPort port,
            RouterOptions options,
            InstantSource clock) {
        this.core = core;
        this.exchanges = exchanges;
        this.links = links;
        this.port = port;
        this.options = options;
        this.clock = clock;
    }

    /** Requests the claim under which an exchange may run; repeating the request for the same exchange is harmless. */
    void requestClaim(Exchange exchange) {
        exchange.machine().fire(ExchangeEvent.CLAIM);
        Instant waitingSince = exchange.waitingSince(now());
        if (!waitingSince.plus(options.claimTimeout()).isAfter(now())) {
            core.refuse(
                    exchange,
                    RequestFailure.notRun(
                            ResultCode.CLAIMS_UNSETTLED,
                            RouterCore.DEFAULT_RETRY_AFTER,
                            "it is not known yet whether the idempotency key is in use; the request did not run"));
            return;
        }
        exchange.lastQueriedAt(now());
        exchanges.startClaim(exchange);
        ClaimEntry requested = ClaimEntry.requested(
                exchange.keyDigest(),
                exchange.request().bodyDigest(),
                exchange.server(),
                exchange.serverIncarnation(),
                exchange.id());
        port.claim(exchange.claimSequence(), requested, exchange.expectedGeneration());
    }

    /** Handles the store's decision on a claim, or the lack of one. */
    void onDecision(long sequence, ClaimDecision decision) {
        Optional<Exchange> found =
                exchanges.findByClaim(sequence).filter(exchange -> exchange.in(ExchangeState.CLAIMING));
        if (found.isEmpty()) {
            return;
        }
        Exchange exchange = found.get();
        switch (decision) {
            case ClaimDecision.Granted granted -> onGranted(exchange, granted.claim());
            case ClaimDecision.HeldByOther heldByOther -> followHolder(exchange, heldByOther.entry());
            case ClaimDecision.Unsettled unsettled -> port.countDecision("claim_unsettled");
        }
    }

    private void onGranted(Exchange exchange, StoredClaim claim) {
        exchanges.forgetClaim(exchange);
        exchange.claim(claim);
        exchange.followedClaim(null);
        if (links.isLinked(exchange.server())) {
            core.submit(exchange);
        } else {
            exchange.machine().fire(ExchangeEvent.RETURN);
            core.dispatch(exchange);
        }
    }

    /** Follows the request that holds the key: its outcome is also the answer to this caller. */
    private void followHolder(Exchange exchange, ClaimEntry claim) {
        exchanges.forgetClaim(exchange);
        if (!claim.bodyDigest().equals(exchange.request().bodyDigest())) {
            core.refuse(
                    exchange,
                    RequestFailure.notRun(
                            ResultCode.KEY_REUSED, "the idempotency key was already used with another request body"));
            return;
        }
        port.countDecision("claim_followed");
        exchange.followedClaim(claim);
        exchange.claim(null);
        exchange.attached(false);
        exchange.assignServer(claim.executor(), claim.executorIncarnation());
        exchange.machine().fire(ExchangeEvent.DOUBT);
        attach(exchange);
    }

    /** Queries the agent that was sent a non-idempotent request for its outcome. */
    void attach(Exchange exchange) {
        exchange.waitingSince(now());
        exchange.lastQueriedAt(now());
        links.linkOnDemand(exchange.server(), now());
        if (exchange.attached() || !links.isLinked(exchange.server())) {
            return;
        }
        Execution execution = exchange.followedClaim()
                .map(ClaimEntry::execution)
                .orElseGet(() -> exchange.execution().orElseThrow());
        Instant waitingSince = exchange.waitingSince(now());
        exchanges.startAttempt(exchange, now());
        exchange.restoreWaitingSince(waitingSince);
        exchange.attached(true);
        port.send(
                exchange.server(), new Frame.Attach(exchange.attemptNumber(), execution, exchange.serverIncarnation()));
    }

    private Instant now() {
        return clock.instant();
    }
}
