package org.tanagerhinge.core.router;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;

/** Indexes the exchanges in flight at a router by request, by attempt and by claim. */
final class ExchangeRegistry {
    private final Map<RequestId, Exchange> exchanges = new LinkedHashMap<>();
    private final Map<Long, Exchange> byAttempt = new HashMap<>();
    private final Map<Long, Exchange> byClaim = new HashMap<>();
    private long nextNumber = 1;

    int size() {
        return exchanges.size();
    }

    void add(Exchange exchange) {
        exchanges.put(exchange.id(), exchange);
    }

    /** Returns the exchange of a request, or null. */
    Exchange find(RequestId id) {
        return exchanges.get(id);
    }

    boolean contains(Exchange exchange) {
        return exchanges.containsKey(exchange.id());
    }

    /** Returns a copy of the current exchanges, in the order of their arrival. */
    List<Exchange> all() {
        return List.copyOf(exchanges.values());
    }

    /** Assigns an exchange a new attempt number, and drops the previous one. */
    void startAttempt(Exchange exchange, Instant now) {
        forgetAttempt(exchange);
        exchange.attemptSent(nextNumber++, now);
        byAttempt.put(exchange.attemptNumber(), exchange);
    }

    /** Drops the newest attempt of an exchange; later messages about it are ignored. */
    void forgetAttempt(Exchange exchange) {
        byAttempt.remove(exchange.attemptNumber());
    }

    /** Drops the stalled attempt of an exchange; later messages about it are ignored. */
    void forgetStalledAttempt(Exchange exchange) {
        exchange.stalledAttempt().ifPresent(stalled -> byAttempt.remove(stalled.number()));
        exchange.forgetStalledAttempt();
    }

    /** Returns the exchange whose newest or stalled attempt has this number, if it is assigned to that server. */
    Optional<Exchange> findByAttempt(long attempt, ServerId server) {
        return Optional.ofNullable(byAttempt.get(attempt)).filter(exchange -> exchange.isAt(server));
    }

    /** Assigns an exchange a new claim number, and drops the previous one. */
    void startClaim(Exchange exchange) {
        forgetClaim(exchange);
        exchange.claimSequence(nextNumber++);
        byClaim.put(exchange.claimSequence(), exchange);
    }

    void forgetClaim(Exchange exchange) {
        byClaim.remove(exchange.claimSequence());
    }

    /** Returns the exchange that waits for the decision on a claim, if any. */
    Optional<Exchange> findByClaim(long sequence) {
        return Optional.ofNullable(byClaim.get(sequence));
    }

    void remove(Exchange exchange) {
        forgetAttempt(exchange);
        forgetStalledAttempt(exchange);
        forgetClaim(exchange);
        exchanges.remove(exchange.id());
    }
}
