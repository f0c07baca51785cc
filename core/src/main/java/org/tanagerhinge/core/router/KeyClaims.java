package org.tanagerhinge.core.router;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.tanagerhinge.core.claim.ClaimDecision;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.result.Refusal;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Sees to it that a non-idempotent request with its caller's key runs once, whichever router it comes through: claims the
 * key, follows another call that holds it, and asks the agent of an attempt in doubt what became of it.
 */
final class KeyClaims {
    private final RouterCore core;
    private final ExchangeBook book;
    private final AgentLinks links;
    private final RouterPort port;
    private final RouterOptions options;
    private final InstantSource clock;

    KeyClaims(
            RouterCore core,
            ExchangeBook book,
            AgentLinks links,
            RouterPort port,
            RouterOptions options,
            InstantSource clock) {
        this.core = core;
        this.book = book;
        this.links = links;
        this.port = port;
        this.options = options;
        this.clock = clock;
    }

    /** Asks the store for the claim under which an exchange may run; asked again, it is the same claim. */
    void ask(Exchange exchange) {
        exchange.machine().fire(ExchangeEvent.CLAIM);
        Instant since = exchange.waitingSince(now());
        if (!since.plus(options.claimPatience()).isAfter(now())) {
            core.refuse(
                    exchange,
                    Refusal.notRun(
                            ResultCode.CLAIMS_UNSETTLED,
                            RouterCore.COME_BACK,
                            "whether the key was used before cannot be told yet; this call ran nothing"));
            return;
        }
        exchange.lastAsked(now());
        book.newClaim(exchange);
        ClaimEntry wanted = ClaimEntry.wanted(
                exchange.digest(),
                exchange.arrival().bodyDigest(),
                exchange.server(),
                exchange.serverIncarnation(),
                exchange.id());
        port.claim(exchange.claimSequence(), wanted, exchange.expectedGeneration());
    }

    /** The platform's store has decided a claim, or did not answer. */
    void decided(long sequence, ClaimDecision decision) {
        Optional<Exchange> found = book.ofClaim(sequence).filter(exchange -> exchange.in(ExchangeState.CLAIMING));
        if (found.isEmpty()) {
            return;
        }
        Exchange exchange = found.get();
        switch (decision) {
            case ClaimDecision.Granted granted -> granted(exchange, granted.entry());
            case ClaimDecision.Held held -> follow(exchange, held.entry());
            case ClaimDecision.Unsettled unsettled -> port.count("claim_unsettled");
        }
    }

    private void granted(Exchange exchange, ClaimEntry entry) {
        book.forgetClaim(exchange);
        exchange.claim(entry);
        exchange.followed(null);
        if (links.isLinked(exchange.server())) {
            core.submit(exchange);
        } else {
            exchange.machine().fire(ExchangeEvent.RETURN);
            core.choose(exchange);
        }
    }

    /** Another call holds the key: whatever became of it is this caller's answer too. */
    private void follow(Exchange exchange, ClaimEntry entry) {
        book.forgetClaim(exchange);
        if (!entry.body().equals(exchange.arrival().bodyDigest())) {
            core.refuse(exchange, Refusal.notRun(ResultCode.KEY_REUSED, "the key was used before with another body"));
            return;
        }
        port.count("claim_followed");
        exchange.followed(entry);
        exchange.claim(null);
        exchange.attached(false);
        exchange.chosen(entry.executor(), entry.executorIncarnation());
        exchange.machine().fire(ExchangeEvent.DOUBT);
        attach(exchange);
    }

    /** Asks the agent that was given a non-idempotent request what became of it. */
    void attach(Exchange exchange) {
        exchange.waitingSince(now());
        exchange.lastAsked(now());
        links.demand(exchange.server(), now());
        if (exchange.attached() || !links.isLinked(exchange.server())) {
            return;
        }
        Execution execution = exchange.followed()
                .map(ClaimEntry::execution)
                .orElseGet(() -> exchange.execution().orElseThrow());
        Instant since = exchange.waitingSince(now());
        book.newAttempt(exchange, now());
        exchange.keepWaiting(since);
        exchange.attached(true);
        port.send(exchange.server(), new Frame.Attach(exchange.attempt(), execution, exchange.serverIncarnation()));
    }

    private Instant now() {
        return clock.instant();
    }
}
