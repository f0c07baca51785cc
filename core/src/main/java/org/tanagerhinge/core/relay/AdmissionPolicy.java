package org.tanagerhinge.core.relay;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.tanagerhinge.core.attempt.RequestFingerprint;

/**
 * Decides whether a request that has been placed is sent to its server or rejected.
 *
 * <p>The checks run in a fixed order: rank first ({@link RankGate}), then repeats before the time that their caller was
 * told ({@link EarlyRepeats}), then the expected wait ({@link AdmissionControl}). Times to retry for the least urgent
 * rank are promised by the {@link RetrySchedule}.
 */
public final class AdmissionPolicy {
    /** Minimum delay of a retry after a rejection by rank, in milliseconds; a random delay up to the same length is added. */
    private static final int MIN_RETRY_AFTER_MILLIS = 300;

    /** Work of an output token relative to a prompt token to prefill. */
    private static final long OUTPUT_TOKEN_WORK = 10;

    private final Set<Mechanism> disabled;
    private final RankGate rankGate = RankGate.create();
    private final RetrySchedule retries = RetrySchedule.create();
    private final EarlyRepeats repeats = EarlyRepeats.create();

    private AdmissionPolicy(Set<Mechanism> disabled) {
        this.disabled = disabled;
    }

    /** Creates the policy with some mechanisms disabled, for experiments. */
    public static AdmissionPolicy without(Set<Mechanism> disabled) {
        return new AdmissionPolicy(disabled);
    }

    /**
     * Holds the properties of a request on which admission depends.
     *
     * @param remainingMillis time until the caller gives up
     * @param fingerprint computes what repeats of the request have in common
     */
    public record Request(
            RelayConfig config,
            PlacementRequest placement,
            Optional<WorkspaceConfig> workspace,
            long remainingMillis,
            Supplier<RequestFingerprint> fingerprint) {
        /** Returns the rank of the request, 0 for the most urgent. */
        int rank() {
            return config.rank(workspace, placement.route());
        }

        /** Returns whether the configuration has workspaces; retries are scheduled only for callers who have a key. */
        boolean identifiesCaller() {
            return config.requiresKey();
        }

        /** Returns the name of the service. */
        String service() {
            return placement.service().name();
        }

        /** Returns the work of the request at the chosen server, in tokens. */
        long work(PlacementPolicy.Decision decision) {
            return Math.max(
                    1,
                    decision.tokensToPrefill()
                            + OUTPUT_TOKEN_WORK * placement.prompt().maxOutputTokens());
        }

        /** Returns whether no request for the service has a less urgent rank. */
        boolean leastUrgent() {
            return config.isLeastUrgent(
                    workspace, placement.route(), placement.service().name());
        }
    }

    /** Says why a request was rejected. */
    public enum Reason {
        /** More urgent requests are overdue at the chosen server. */
        YIELDS_TO_URGENT,
        /** The first output can't be in time. */
        EXPECTED_LATE,
        /** The caller repeats the request before the time that it was told. */
        REPEATED_EARLY
    }

    /**
     * Describes the rejection of a request that hasn't been sent.
     *
     * @param retryAfterMillis how long the caller should wait before it retries, in milliseconds
     */
    public record Rejection(Reason reason, long retryAfterMillis) {}

    /**
     * Returns the rejection of a request that no server has received yet; empty if it may be sent.
     *
     * @param random draws a number uniformly from 0 to 1, which spreads the retries of callers rejected together
     */
    public Optional<Rejection> rejection(
            Request request, PlacementPolicy.Decision decision, long nowMillis, DoubleSupplier random) {
        if (!disabled.contains(Mechanism.RANK_GATE)
                && rankGate.mustYield(request.rank(), decision.server().instanceId(), nowMillis)) {
            long delayMillis = Math.min(
                    MIN_RETRY_AFTER_MILLIS + (long) (random.getAsDouble() * MIN_RETRY_AFTER_MILLIS),
                    RetrySchedule.maxDelayMillis(request.remainingMillis()));
            return Optional.of(new Rejection(
                    Reason.YIELDS_TO_URGENT,
                    request.leastUrgent()
                            ? retryAfterMillis(request, decision, delayMillis, nowMillis, random)
                            : delayMillis));
        }
        if (disabled.contains(Mechanism.ADMISSION) || !request.leastUrgent()) {
            return Optional.empty();
        }
        OptionalLong untilToldMillis = untilToldMillis(request, nowMillis);
        if (untilToldMillis.isPresent()) {
            return Optional.of(new Rejection(Reason.REPEATED_EARLY, untilToldMillis.getAsLong()));
        }
        OptionalLong delayMillis = AdmissionControl.retryAfterMillis(
                request.placement().route(),
                decision.expectedWaitMillis(),
                request.remainingMillis(),
                request.identifiesCaller() ? retries.promisedShare(request.service(), nowMillis) : 0,
                random);
        if (delayMillis.isEmpty()) {
            retries.recordAdmitted(request.service(), request.work(decision), nowMillis);
            return Optional.empty();
        }
        return Optional.of(new Rejection(
                Reason.EXPECTED_LATE, retryAfterMillis(request, decision, delayMillis.getAsLong(), nowMillis, random)));
    }

    /** Returns the time until a caller was told to retry, as far as it waits that long; empty if it wasn't told any. */
    private OptionalLong untilToldMillis(Request request, long nowMillis) {
        if (!request.identifiesCaller() || repeats.isEmpty()) {
            return OptionalLong.empty();
        }
        OptionalLong untilToldMillis =
                repeats.remainingMillis(request.fingerprint().get(), nowMillis);
        return untilToldMillis.isEmpty()
                ? untilToldMillis
                : OptionalLong.of(
                        Math.min(untilToldMillis.getAsLong(), RetrySchedule.maxDelayMillis(request.remainingMillis())));
    }

    /** Returns the time until the retry that a caller was told before, or else of a new promise. */
    private long retryAfterMillis(
            Request request,
            PlacementPolicy.Decision decision,
            long unscheduledMillis,
            long nowMillis,
            DoubleSupplier random) {
        if (!request.identifiesCaller()) {
            return unscheduledMillis;
        }
        OptionalLong untilToldMillis = untilToldMillis(request, nowMillis);
        if (untilToldMillis.isPresent()) {
            return untilToldMillis.getAsLong();
        }
        long delayMillis = disabled.contains(Mechanism.RETRY_SCHEDULE)
                ? unscheduledMillis
                : retries.promise(
                        request.service(), request.work(decision), request.remainingMillis(), nowMillis, random);
        if (!disabled.contains(Mechanism.EARLY_REPEATS)) {
            repeats.recordTold(request.fingerprint().get(), nowMillis + delayMillis, nowMillis);
        }
        return delayMillis;
    }

    /** Returns the promised retries, which are exchanged with the peers. */
    public RetrySchedule retries() {
        return retries;
    }

    /** Returns the gate that is told which requests were sent and which have output. */
    public RankGate rankGate() {
        return rankGate;
    }
}
