package org.tanagerhinge.core.router;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.attempt.PartQuarantine;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.RequestQuarantine;
import org.tanagerhinge.core.attempt.SuspectRun;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.BackendCall;

/**
 * Attributes crashes of backend servers to the requests that were running there and to the parts of their prompts, and
 * quarantines those with several crashes.
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

    /** Time by which a trial has shown whether its suspect is at fault, for callers that wait for it. */
    private static final Duration TRIAL_RUN = Duration.ofSeconds(2);

    private static final int MAX_PENDING_RUNS_PER_SERVER = 128;

    private record FailedRun(SuspectRun run, Instant failedAt) {}

    private final RequestQuarantine requests = RequestQuarantine.create();
    private final PartQuarantine parts = PartQuarantine.create();
    private final Map<ServerId, Deque<FailedRun>> pendingRuns = new HashMap<>();

    /** Returns what may crash the server on which a request runs; equal for repeats of it under other ids. */
    static SuspectRun suspectRun(IncomingRequest request, Workspace workspace) {
        String path = request.call() instanceof BackendCall.ServiceCall call ? call.method() + " " + call.path() : "";
        RequestFingerprint fingerprint = RequestFingerprint.of(
                workspace.id().value(),
                request.kind().name(),
                request.target(),
                path,
                ByteBuffer.wrap(request.bodyDigest().getBytes(StandardCharsets.UTF_8)));
        return new SuspectRun(fingerprint, request.sharedParts());
    }

    /** Returns whether nothing is suspected. */
    boolean isEmpty() {
        return requests.isEmpty() && parts.isEmpty();
    }

    /** Records the parts of a prompt that has arrived. */
    void requestArrived(List<PartId> sharedParts) {
        parts.recordArrival(sharedParts);
    }

    /** Returns after how long a request may be sent; empty if it may be sent now, perhaps on trial. */
    Optional<Duration> quarantinedFor(SuspectRun run, Instant now) {
        long nowMillis = now.toEpochMilli();
        Optional<Duration> forPart = parts.culpritAmong(run.parts(), nowMillis)
                .flatMap(culprit ->
                        remaining(culprit.untilMillis(), parts.trialFromMillis(culprit, Long.MAX_VALUE), nowMillis));
        if (forPart.isPresent()) {
            return forPart;
        }
        OptionalLong remainingMillis = requests.remainingMillis(run.request(), nowMillis);
        return remainingMillis.isEmpty()
                ? Optional.empty()
                : remaining(
                        nowMillis + remainingMillis.getAsLong(), requests.trialFromMillis(run.request()), nowMillis);
    }

    /** Returns the time until the end of a quarantine, or until a trial has shown whether it is a mistake. */
    private static Optional<Duration> remaining(long untilMillis, OptionalLong trialFromMillis, long nowMillis) {
        if (trialFromMillis.isEmpty()) {
            return Optional.of(Duration.ofMillis(untilMillis - nowMillis));
        }
        long untilTrialMillis = trialFromMillis.getAsLong() - nowMillis;
        return untilTrialMillis <= 0
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(Math.min(untilMillis - nowMillis, untilTrialMillis))
                        .plus(TRIAL_RUN));
    }

    /** Begins a trial if a request that may be sent is quarantined; returns whether it is on trial. */
    boolean takeTrial(SuspectRun run, Instant now) {
        long nowMillis = now.toEpochMilli();
        boolean onTrial = false;
        Optional<PartQuarantine.Culprit> culprit = parts.culpritAmong(run.parts(), nowMillis);
        if (culprit.isPresent()) {
            onTrial = parts.takeTrial(culprit.get(), Long.MAX_VALUE, nowMillis);
        }
        if (requests.remainingMillis(run.request(), nowMillis).isPresent()) {
            onTrial |= requests.takeTrial(run.request(), nowMillis);
        }
        return onTrial;
    }

    /** Ends a trial that has shown nothing; the next one may begin at a time. */
    void endTrial(SuspectRun run, Instant next) {
        requests.endTrial(run.request(), next.toEpochMilli());
        run.parts().forEach(part -> parts.endTrial(part, next.toEpochMilli()));
    }

    /** Records that a run failed at a server. */
    void recordFailedRun(ServerId server, SuspectRun run, Instant now) {
        Deque<FailedRun> runs = pendingRuns.computeIfAbsent(server, _ -> new ArrayDeque<>());
        runs.addLast(new FailedRun(run, now));
        if (runs.size() > MAX_PENDING_RUNS_PER_SERVER) {
            runs.removeFirst();
        }
    }

    /** Records that a server is down; returns how many requests and parts of prompts are newly quarantined. */
    int recordServerDown(ServerId server, Instant now) {
        Deque<FailedRun> runs = pendingRuns.remove(server);
        if (runs == null) {
            return 0;
        }
        int culpritsBefore = parts.culprits().size();
        int quarantinedCount = 0;
        for (FailedRun failed : runs) {
            if (failed.failedAt().plus(CRASH_DETECTION_WINDOW).isAfter(now)) {
                boolean newlyQuarantined =
                        requests.recordCrash(failed.run().request(), server.value(), now.toEpochMilli());
                parts.recordCrash(failed.run(), server.value(), now.toEpochMilli());
                quarantinedCount += newlyQuarantined ? 1 : 0;
            }
        }
        return quarantinedCount + Math.max(0, parts.culprits().size() - culpritsBefore);
    }

    /** Records that a server completed a run. */
    void recordCompletedRun(SuspectRun run, Instant now) {
        requests.recordCompletedRun(run.request(), now.toEpochMilli());
        parts.recordSoundRun(run.parts(), now.toEpochMilli());
    }

    /** Removes expired entries. */
    void evictExpired(Instant now) {
        requests.evictExpired(now.toEpochMilli());
        parts.evictExpired(now.toEpochMilli());
        pendingRuns
                .values()
                .removeIf(runs ->
                        runs.peekLast().failedAt().plus(CRASH_DETECTION_WINDOW).isBefore(now));
    }
}
