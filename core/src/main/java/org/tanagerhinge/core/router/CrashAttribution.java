package org.tanagerhinge.core.router;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.RequestQuarantine;
import org.tanagerhinge.core.id.ServerId;

/**
 * Attributes crashes of backend servers to the requests that were running there, and quarantines requests with several
 * crashes.
 *
 * <p>A failed run counts against its request only if the server's agent reports the server down shortly afterwards;
 * otherwise the server itself may be at fault.
 */
final class CrashAttribution {
    /**
     * Time within which an agent detects that its server is down after a run has failed: a probe, its response, and a
     * margin.
     */
    private static final Duration CRASH_DETECTION_WINDOW = Duration.ofSeconds(2);

    private static final int MAX_PENDING_RUNS_PER_SERVER = 128;

    private record FailedRun(RequestFingerprint request, Instant failedAt) {}

    private final RequestQuarantine quarantine = RequestQuarantine.create();
    private final Map<ServerId, Deque<FailedRun>> pendingRuns = new HashMap<>();

    /** Returns whether no request is suspected. */
    boolean isEmpty() {
        return quarantine.isEmpty();
    }

    /** Returns for how long a request stays quarantined; empty if it may be sent. */
    Optional<Duration> quarantinedFor(RequestFingerprint request, Instant now) {
        OptionalLong remainingMillis = quarantine.remainingMillis(request, now.toEpochMilli());
        return remainingMillis.isPresent()
                ? Optional.of(Duration.ofMillis(remainingMillis.getAsLong()))
                : Optional.empty();
    }

    /** Records that a run of a request failed at a server. */
    void recordFailedRun(ServerId server, RequestFingerprint request, Instant now) {
        Deque<FailedRun> runs = pendingRuns.computeIfAbsent(server, _ -> new ArrayDeque<>());
        runs.addLast(new FailedRun(request, now));
        if (runs.size() > MAX_PENDING_RUNS_PER_SERVER) {
            runs.removeFirst();
        }
    }

    /** Records that a server is down; returns how many requests are newly quarantined. */
    int recordServerDown(ServerId server, Instant now) {
        Deque<FailedRun> runs = pendingRuns.remove(server);
        if (runs == null) {
            return 0;
        }
        int quarantinedCount = 0;
        for (FailedRun run : runs) {
            boolean newlyQuarantined =
                    run.failedAt().plus(CRASH_DETECTION_WINDOW).isAfter(now)
                            && quarantine.recordCrash(run.request(), server.value(), now.toEpochMilli());
            quarantinedCount += newlyQuarantined ? 1 : 0;
        }
        return quarantinedCount;
    }

    /** Records that a server completed a run of a request. */
    void recordCompletedRun(RequestFingerprint request, Instant now) {
        quarantine.recordCompletedRun(request, now.toEpochMilli());
    }

    /** Removes expired entries. */
    void evictExpired(Instant now) {
        quarantine.evictExpired(now.toEpochMilli());
        pendingRuns
                .values()
                .removeIf(runs ->
                        runs.peekLast().failedAt().plus(CRASH_DETECTION_WINDOW).isBefore(now));
    }
}
