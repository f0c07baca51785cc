package org.tanagerhinge.bench.fleet;

import java.util.List;

/**
 * Describes a kind of request that the simulated callers send.
 *
 * @param rank priority rank; 0 is the most urgent
 * @param requestsPerSecond mean arrival rate of all callers
 * @param sharedParts prompt parts shared between requests, in order
 * @param ownTokens mean size of the part that only this request has
 * @param ownLogDeviation standard deviation of the logarithm of that size
 * @param meanEvents mean number of events of an answer
 * @param firstEventTargetMillis maximum time to the first event of an answer on time
 * @param maxGapMillis maximum gap between events of an answer on time
 * @param timeoutMillis time after which a caller disconnects
 * @param abandonGapMillis gap between events after which a caller disconnects
 * @param onTimeValue value of an answer on time
 * @param lateValue value of a late answer
 * @param resumable whether a failed stream may be resumed by another engine
 */
public record RequestKind(
        String name,
        int rank,
        double requestsPerSecond,
        List<SharedPart> sharedParts,
        int ownTokens,
        double ownLogDeviation,
        double meanEvents,
        long firstEventTargetMillis,
        long maxGapMillis,
        long timeoutMillis,
        long abandonGapMillis,
        double onTimeValue,
        double lateValue,
        boolean resumable) {
    /**
     * Describes a prompt part that is shared between requests.
     *
     * @param meanTokens mean size in tokens
     * @param logDeviation standard deviation of the logarithm of the size
     * @param variants number of different parts
     */
    public record SharedPart(int meanTokens, double logDeviation, int variants) {}

    /** Returns this kind with request rate and variants divided by the factor. */
    RequestKind scaledDown(double factor) {
        List<SharedPart> fewer = sharedParts.stream()
                .map(part -> new SharedPart(part.meanTokens(), part.logDeviation(), (int)
                        Math.max(1, Math.round(part.variants() / factor))))
                .toList();
        return new RequestKind(
                name,
                rank,
                requestsPerSecond / factor,
                fewer,
                ownTokens,
                ownLogDeviation,
                meanEvents,
                firstEventTargetMillis,
                maxGapMillis,
                timeoutMillis,
                abandonGapMillis,
                onTimeValue,
                lateValue,
                resumable);
    }
}
