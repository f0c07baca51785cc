package org.tanagerhinge.core.router;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;

/** The exchanges in progress at a router, by request, by attempt and by claim. */
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

    /** Returns the exchanges of now, in the order of their arrival; they may be removed meanwhile. */
    List<Exchange> all() {
        return List.copyOf(exchanges.values());
    }

    /** Gives an exchange the number of a new attempt, and forgets the one before. */
    void startAttempt(Exchange exchange, Instant now) {
        forgetAttempt(exchange);
        exchange.attemptSent(nextNumber++, now);
        byAttempt.put(exchange.attemptNumber(), exchange);
    }

    /** From now on messages about the newest attempt of an exchange come late. */
    void forgetAttempt(Exchange exchange) {
        byAttempt.remove(exchange.attemptNumber());
    }

    /** Returns the exchange that an attempt belongs to, if it is its newest and is at that server. */
    Optional<Exchange> findByAttempt(long attempt, ServerId server) {
        return Optional.ofNullable(byAttempt.get(attempt)).filter(exchange -> server.equals(exchange.server()));
    }

    /** Gives an exchange the number of a new claim, and forgets the one before. */
    void startClaim(Exchange exchange) {
        forgetClaim(exchange);
        exchange.claimSequence(nextNumber++);
        byClaim.put(exchange.claimSequence(), exchange);
    }

    void forgetClaim(Exchange exchange) {
        byClaim.remove(exchange.claimSequence());
    }

    /** Returns the exchange that waits for a claim, if one does. */
    Optional<Exchange> findByClaim(long sequence) {
        return Optional.ofNullable(byClaim.get(sequence));
    }

    void remove(Exchange exchange) {
        forgetAttempt(exchange);
        forgetClaim(exchange);
        exchanges.remove(exchange.id());
    }
}
