package org.tanagerhinge.core.relay;

import java.util.List;
import org.tanagerhinge.core.attempt.AttemptLimits;

/**
 * Holds a route of the operators' configuration.
 *
 * @param host value of the Host header, in lower case, without port
 * @param pathPrefix begins and ends with a slash
 * @param resumable whether interrupted streams may be resumed on another server
 * @param weightedServices services with their weights; at least one
 * @param maxAttempts maximum number of backend servers that one request may run on
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param targetMillis target time of the response (of a stream: of its first event); 0 if the route has none
 * @param maxEventGapMillis longest gap between events that is still on time; 0 if the route sets none
 * @param priority 0 is the most urgent
 * @param anonymous whether callers need no key
 * @param describesPrompts whether requests describe the size and parts of their prompts
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        List<WeightedService> weightedServices,
        int maxAttempts,
        long timeoutMillis,
        long targetMillis,
        long maxEventGapMillis,
        int priority,
        boolean anonymous,
        boolean describesPrompts) {
    /** Sends beyond the attempts that may have run: a refused send is cheap, but draws on the shared retry budget. */
    private static final int EXTRA_SENDS = 2;

    /** Returns whether a request may run more than once without harm. */
    public boolean idempotent() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAM && resumable);
    }

    /** Returns whether requests are divided between services. */
    public boolean isSplit() {
        return weightedServices.size() > 1;
    }

    /** Returns whether requests may go to a service. */
    public boolean leadsTo(String service) {
        return weightedServices.stream().anyMatch(share -> share.service().equals(service));
    }

    /** Returns the limits on the attempts of one request. */
    public AttemptLimits attemptLimits() {
        return new AttemptLimits(idempotent(), maxAttempts, Integer.MAX_VALUE, maxAttempts + EXTRA_SENDS);
    }

    /**
     * Returns the service for a request.
     *
     * @param selector uniformly distributed over all ints and the same for every attempt of a request
     */
    public String service(int selector) {
        long totalWeight = 0;
        for (WeightedService candidate : weightedServices) {
            totalWeight += candidate.weight();
        }
        if (totalWeight <= 0) {
            return weightedServices.get(0).service();
        }
        long point = Math.floorMod((long) selector, totalWeight);
        for (WeightedService candidate : weightedServices) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }
}
