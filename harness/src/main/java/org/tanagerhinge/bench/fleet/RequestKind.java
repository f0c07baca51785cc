package org.tanagerhinge.bench.fleet;

import java.util.List;

/**
 * A kind of request that the model's callers send.
 *
 * @param rank 0 is the most urgent
 * @param requestsPerSecond mean arrivals of all callers
 * @param sharedParts the shared parts of a prompt, in order
 * @param ownTokens mean size of the part of the request itself
 * @param ownLogDeviation standard deviation of the logarithm of that size
 * @param meanEvents mean events of an answer
 * @param firstEventTargetMillis time to the first event that is on time
 * @param maxGapMillis pause between events that is on time
 * @param timeoutMillis after which a caller leaves
 * @param abandonGapMillis pause without an event after which a caller leaves
 * @param onTimeValue of an answer on time
 * @param lateValue of a late one
 * @param resumable whether a broken stream may go on elsewhere
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
     * A part that requests share.
     *
     * @param meanTokens its mean size
     * @param logDeviation standard deviation of the logarithm of the size
     * @param variants how many different ones there are
     */
    public record SharedPart(int meanTokens, double logDeviation, int variants) {}

    /** Returns the same kind with fewer requests and things, by a factor. */
    RequestKind scaledDown(double factor) {
        List<SharedPart> fewer = sharedParts.stream()
                .map(part -> new SharedPart(
                        part.meanTokens(), part.logDeviation(), (int) Math.max(1, Math.round(part.variants() / factor))))
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
