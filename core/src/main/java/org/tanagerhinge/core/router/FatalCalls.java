package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerhinge.core.attempt.Quarantine;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.id.ServerId;

/**
 * Calls under which backend servers have ended, as far as this router has seen it.
 *
 * <p>A run that fails may be the run's fault or the server's: it counts against the call only if the server's agent says within
 * moments that the server is down.
 */
final class FatalCalls {
    /** Time from a failed run until its agent has found that the server is down: a probe and its answer, and some slack. */
    private static final Duration DOUBT = Duration.ofSeconds(2);
    /** Failed runs of one server that are in doubt at the most. */
    private static final int MOST_IN_DOUBT = 128;

    private record Failure(RequestFingerprint call, Instant at) {}

    private final Quarantine quarantine = Quarantine.create();
    private final Map<ServerId, Deque<Failure>> inDoubt = new HashMap<>();

    /** Returns whether no call is suspected. */
    boolean empty() {
        return quarantine.empty();
    }

    /** Returns for how long a call is to be sent no more; nothing if it may be sent. */
    Optional<Duration> held(RequestFingerprint call, Instant now) {
        OptionalLong millis = quarantine.heldMillis(call, now.toEpochMilli());
        return millis.isPresent() ? Optional.of(Duration.ofMillis(millis.getAsLong())) : Optional.empty();
    }

    /** Notes that a server has failed a run of a call. */
    void failed(ServerId server, RequestFingerprint call, Instant now) {
        Deque<Failure> failures = inDoubt.computeIfAbsent(server, _ -> new ArrayDeque<>());
        failures.addLast(new Failure(call, now));
        if (failures.size() > MOST_IN_DOUBT) {
            failures.removeFirst();
        }
    }

    /** Notes that a server is down; returns how many calls are held from now on. */
    int down(ServerId server, Instant now) {
        Deque<Failure> failures = inDoubt.remove(server);
        if (failures == null) {
            return 0;
        }
        int held = 0;
        for (Failure failure : failures) {
            boolean newlyHeld = failure.at().plus(DOUBT).isAfter(now)
                    && quarantine.ended(failure.call(), server.value(), now.toEpochMilli());
            held += newlyHeld ? 1 : 0;
        }
        return held;
    }

    /** Notes that a server has run a call to its end. */
    void served(RequestFingerprint call, Instant now) {
        quarantine.served(call, now.toEpochMilli());
    }

    /** Forgets what has lapsed. */
    void trim(Instant now) {
        quarantine.trim(now.toEpochMilli());
        inDoubt.values()
                .removeIf(failures -> failures.peekLast().at().plus(DOUBT).isBefore(now));
    }
}
