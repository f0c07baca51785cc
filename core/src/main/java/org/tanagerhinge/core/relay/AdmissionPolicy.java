package org.tanagerhinge.core.relay;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request that has been placed is sent to its server or rejected.
 *
 * <p>The checks run in a fixed order: rank first ({@link RankGate}), then the workspace's share ({@link
 * WorkspaceShares}), then the expected wait ({@link AdmissionControl}).
 */
public final class AdmissionPolicy {
    /**
     * Part of the longest acceptable queue of a model engine up to which no request is refused by share. With refusals
     * at any queue, engines were idle while callers were refused: 30% of the digests of the fleet model's scenario
     * {@code crowded} were on time, and 40% without shares.
     */
    private static final double SHARED_QUEUE_SHARE = 0.5;
    /**
     * Smallest part of the longest acceptable wait that is taken as the longest acceptable queue. A prompt whose own
     * prefill takes almost all of the wait would otherwise count any queue as too long.
     */
    private static final double MIN_QUEUE_SHARE = 0.25;

    private final Set<Mechanism> disabled;
    private final RankGate rankGate = RankGate.create();
    private final WorkspaceShares shares = WorkspaceShares.create();
    private final ResponseTimes responseTimes = ResponseTimes.create();

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
        /** The service is short of capacity, and the workspace asks for more than its fair share. */
        OVER_SHARE,
        /** The first output can't be in time. */
        EXPECTED_LATE
    }

    /**
     * Describes the rejection of a request that hasn't been sent.
     *
     * @param retryAfterMillis how long the caller should wait before it retries, in milliseconds
     * @param excess by how much the workspace is over its share, if that is the reason
     */
    public record Rejection(Reason reason, long retryAfterMillis, Optional<WorkspaceShares.Excess> excess) {
        private static Rejection of(Reason reason, long retryAfterMillis) {
            return new Rejection(reason, retryAfterMillis, Optional.empty());
        }
    }

    /**
     * Returns the rejection of a request that no server has received yet; empty if it may be sent.
     *
     * @param random draws a number uniformly from 0 to 1, which spreads the retries of callers rejected together
     */
    public Optional<Rejection> rejection(
            Request request, PlacementPolicy.Decision decision, long nowMillis, DoubleSupplier random) {
        if (!sharesApply(request)) {
            return check(request, Optional.empty(), decision, nowMillis, random);
        }
        WorkspaceShares.Ask ask = ask(request, decision.tokensToPrefill());
        shares.recordAsked(ask, nowMillis);
        Optional<Rejection> rejection = check(request, Optional.of(ask), decision, nowMillis, random);
        if (rejection.isEmpty()) {
            shares.recordAdmitted(ask, nowMillis);
        }
        if (lateByQueue(request, decision)
                || rejection.map(Rejection::reason).equals(Optional.of(Reason.YIELDS_TO_URGENT))) {
            shares.recordShort(ask.service(), nowMillis);
        }
        return rejection;
    }

    /** Returns whether a request is late because of the queue, not of its own prefill at an idle engine. */
    private static boolean lateByQueue(Request request, PlacementPolicy.Decision decision) {
        double maxWaitMillis =
                AdmissionControl.maxWaitMillis(request.placement().route());
        return decision.expectedWaitMillis() > maxWaitMillis && decision.prefillMillis() <= maxWaitMillis;
    }

    private Optional<Rejection> check(
            Request request,
            Optional<WorkspaceShares.Ask> ask,
            PlacementPolicy.Decision decision,
            long nowMillis,
            DoubleSupplier random) {
        if (!disabled.contains(Mechanism.RANK_GATE)
                && rankGate.mustYield(request.rank(), decision.server().instanceId(), nowMillis)) {
            return Optional.of(Rejection.of(Reason.YIELDS_TO_URGENT, retryAfterMillis(random)));
        }
        Optional<WorkspaceShares.Excess> excess =
                ask.flatMap(found -> shares.excess(found, refusalScale(request, decision), nowMillis, random));
        if (excess.isPresent()) {
            return Optional.of(new Rejection(Reason.OVER_SHARE, retryAfterMillis(random), excess));
        }
        if (disabled.contains(Mechanism.ADMISSION) || !request.leastUrgent()) {
            return Optional.empty();
        }
        OptionalLong retryAfterMillis = AdmissionControl.retryAfterMillis(
                request.placement().route(), decision.expectedWaitMillis(), request.remainingMillis(), random);
        return retryAfterMillis.isPresent()
                ? Optional.of(Rejection.of(Reason.EXPECTED_LATE, retryAfterMillis.getAsLong()))
                : Optional.empty();
    }

    /**
     * Returns the factor of the fraction of requests that shares refuse: at model engines it grows from 0 to 1 with the
     * expected queueing time, so that a workspace over its share is refused where capacity is short and is served where
     * an engine is idle; at plain servers, whose queues aren't known, it is 1.
     */
    private static double refusalScale(Request request, PlacementPolicy.Decision decision) {
        if (!request.placement().service().hasModelEngines()) {
            return 1;
        }
        double maxWaitMillis =
                AdmissionControl.maxWaitMillis(request.placement().route());
        double maxQueueMillis = Math.max(maxWaitMillis - decision.prefillMillis(), MIN_QUEUE_SHARE * maxWaitMillis);
        double queueMillis = decision.expectedWaitMillis() - decision.prefillMillis();
        return Math.clamp((queueMillis / maxQueueMillis - SHARED_QUEUE_SHARE) / (1 - SHARED_QUEUE_SHARE), 0, 1);
    }

    /** Returns a retry delay of the shortest length to twice that, which spreads callers rejected together. */
    private static long retryAfterMillis(DoubleSupplier random) {
        return AdmissionControl.MIN_RETRY_AFTER_MILLIS
                + (long) (random.getAsDouble() * AdmissionControl.MIN_RETRY_AFTER_MILLIS);
    }

    /** Returns whether shares apply to a request: only if the configuration has workspaces. */
    public boolean sharesApply(Request request) {
        return request.config().requiresKey() && !disabled.contains(Mechanism.WORKSPACE_SHARES);
    }

    /** Returns the work that a request asks for, with the prompt tokens that a server has to prefill for it. */
    public WorkspaceShares.Ask ask(Request request, int tokensToPrefill) {
        PlacementRequest placement = request.placement();
        double work = placement.service().hasModelEngines()
                ? tokensToPrefill
                        + PrefillOrder.OUTPUT_TOKEN_WEIGHT * placement.prompt().maxOutputTokens()
                : responseTimes.meanMillis(placement.route());
        return new WorkspaceShares.Ask(
                placement.service().name(),
                request.rank(),
                request.leastUrgent(),
                request.workspace().map(WorkspaceConfig::name).orElse(""),
                Math.max(1, work));
    }

    /** Returns the shares of the workspaces. */
    public WorkspaceShares shares() {
        return shares;
    }

    /** Returns the response times from which the work at plain servers is computed. */
    public ResponseTimes responseTimes() {
        return responseTimes;
    }

    /** Returns the gate that is told which requests were sent and which have output. */
    public RankGate rankGate() {
        return rankGate;
    }
}
