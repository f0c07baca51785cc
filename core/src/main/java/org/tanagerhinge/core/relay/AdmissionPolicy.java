package org.tanagerhinge.core.relay;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request that has been placed is sent to its server or rejected.
 *
 * <p>The checks run in a fixed order: rank first ({@link RankGate}), then the expected wait ({@link AdmissionControl}).
 */
public final class AdmissionPolicy {
    /** Minimum delay of a retry after a rejection by rank, in milliseconds; a random delay up to the same length is added. */
    private static final int MIN_RETRY_AFTER_MILLIS = 300;

    private final Set<Mechanism> disabled;
    private final RankGate rankGate = RankGate.create();

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
     */
    public record Request(
            RelayConfig config, PlacementRequest placement, Optional<WorkspaceConfig> workspace, long remainingMillis) {
        /** Returns the rank of the request, 0 for the most urgent. */
        int rank() {
            return config.rank(workspace, placement.route());
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
        EXPECTED_LATE
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
            long retryAfterMillis = MIN_RETRY_AFTER_MILLIS + (long) (random.getAsDouble() * MIN_RETRY_AFTER_MILLIS);
            return Optional.of(new Rejection(Reason.YIELDS_TO_URGENT, retryAfterMillis));
        }
        if (disabled.contains(Mechanism.ADMISSION) || !request.leastUrgent()) {
            return Optional.empty();
        }
        OptionalLong retryAfterMillis = AdmissionControl.retryAfterMillis(
                request.placement().route(), decision.expectedWaitMillis(), request.remainingMillis(), random);
        return retryAfterMillis.isPresent()
                ? Optional.of(new Rejection(Reason.EXPECTED_LATE, retryAfterMillis.getAsLong()))
                : Optional.empty();
    }

    /** Returns the gate that is told which requests were sent and which have output. */
    public RankGate rankGate() {
        return rankGate;
    }
}
