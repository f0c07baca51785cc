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
final class CrashAttribution {
    /** Time from a failed run until its agent has found that the server is down: a probe and its answer, and some slack. */
    private static final Duration CRASH_DETECTION_WINDOW = Duration.ofSeconds(2);
    /** Failed runs of one server that are in doubt at the most. */
    private static final int MAX_PENDING_RUNS_PER_SERVER = 128;

    private record FailedRun(RequestFingerprint request, Instant failedAt) {}

    private final Quarantine quarantine = Quarantine.create();
    private final Map<ServerId, Deque<FailedRun>> pendingRuns = new HashMap<>();

    /** Returns whether no call is suspected. */
    boolean isEmpty() {
        return quarantine.empty();
    }

    /** Returns for how long a call is to be sent no more; nothing if it may be sent. */
    Optional<Duration> quarantinedFor(RequestFingerprint request, Instant now) {
        OptionalLong remainingMillis = quarantine.heldMillis(request, now.toEpochMilli());
        return remainingMillis.isPresent()
                ? Optional.of(Duration.ofMillis(remainingMillis.getAsLong()))
                : Optional.empty();
    }

    /** Notes that a server has failed a run of a call. */
    void recordFailedRun(ServerId server, RequestFingerprint request, Instant now) {
        Deque<FailedRun> runs = pendingRuns.computeIfAbsent(server, _ -> new ArrayDeque<>());
        runs.addLast(new FailedRun(request, now));
        if (runs.size() > MAX_PENDING_RUNS_PER_SERVER) {
            runs.removeFirst();
        }
    }

    /** Notes that a server is down; returns how many calls are held from now on. */
    int recordServerDown(ServerId server, Instant now) {
        Deque<FailedRun> runs = pendingRuns.remove(server);
        if (runs == null) {
            return 0;
        }
        int quarantinedCount = 0;
        for (FailedRun run : runs) {
            boolean newlyQuarantined =
                    run.failedAt().plus(CRASH_DETECTION_WINDOW).isAfter(now)
                            && quarantine.ended(run.request(), server.value(), now.toEpochMilli());
            quarantinedCount += newlyQuarantined ? 1 : 0;
        }
        return quarantinedCount;
    }

    /** Notes that a server has run a call to its end. */
    void recordCompletedRun(RequestFingerprint request, Instant now) {
        quarantine.served(request, now.toEpochMilli());
    }

    /** Forgets what has lapsed. */
    void evictExpired(Instant now) {
        quarantine.trim(now.toEpochMilli());
        pendingRuns
                .values()
                .removeIf(runs ->
                        runs.peekLast().failedAt().plus(CRASH_DETECTION_WINDOW).isBefore(now));
    }
}
