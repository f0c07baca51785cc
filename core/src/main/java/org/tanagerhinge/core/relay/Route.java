package org.tanagerhinge.core.relay;

import java.util.List;
import org.tanagerhinge.core.attempt.AttemptTerms;

/**
 * One route of the operators' configuration.
 *
 * @param host value of the Host header, in lower case, without port
 * @param prefix begins and ends with a slash
 * @param shares services with their weights; at least one
 * @param maxAttempts how many backend servers one request may run on
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param targetMillis answers within this time earn their full worth (streams: up to the first event)
 * @param gapMillis longest pause between events that is still on time; 0 if the route has none
 * @param priority rank, 0 is the most urgent
 * @param open whether callers need no key
 * @param prompts whether requests tell their prompt's size and parts
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
    /** Sends beyond those that may have run: a refusal costs little, but each one draws on the shared budget. */
    private static final int EXTRA_SENDS = 2;

    /** Returns whether a request may run more than once without harm. */
    public boolean idempotent() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAM && resumable);
    }

    /** Returns how often one request may be sent. */
    public AttemptTerms attemptTerms() {
        return new AttemptTerms(idempotent(), maxAttempts, Integer.MAX_VALUE, maxAttempts + EXTRA_SENDS);
    }

    /**
     * Returns the service for a request.
     *
     * @param draw a number that is spread evenly over all ints, the same for every attempt of one request
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
