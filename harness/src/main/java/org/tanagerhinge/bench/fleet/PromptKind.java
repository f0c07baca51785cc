package org.tanagerhinge.bench.fleet;

import java.util.List;

/**
 * A kind of request that the model's callers send.
 *
 * @param rank 0 is the most urgent
 * @param perSecond mean arrivals of all callers
 * @param shared the shared parts of a prompt, in order
 * @param ownTokens mean size of the part of the request itself
 * @param ownSpread standard deviation of the logarithm of that size
 * @param events mean events of an answer
 * @param targetMillis time to the first event that is on time
 * @param gapMillis pause between events that is on time
 * @param timeoutMillis after which a caller leaves
 * @param patienceMillis pause without an event after which a caller leaves
 * @param worth of an answer on time
 * @param lateWorth of a late one
 * @param resumable whether a broken stream may go on elsewhere
 */
public record PromptKind(
        String name,
        int rank,
        double perSecond,
        List<SharedPart> shared,
        int ownTokens,
        double ownSpread,
        double events,
        long targetMillis,
        long gapMillis,
        long timeoutMillis,
        long patienceMillis,
        double worth,
        double lateWorth,
        boolean resumable) {
    /**
     * A part that requests share.
     *
     * @param meanTokens its mean size
     * @param spread standard deviation of the logarithm of the size
     * @param things how many different ones there are
     */
    public record SharedPart(int meanTokens, double spread, int things) {}

    /** Returns the same kind with fewer requests and things, by a factor. */
    PromptKind smaller(double factor) {
        List<SharedPart> fewer = shared.stream()
                .map(part -> new SharedPart(
                        part.meanTokens(), part.spread(), (int) Math.max(1, Math.round(part.things() / factor))))
                .toList();
        return new PromptKind(
                name,
                rank,
                perSecond / factor,
                fewer,
                ownTokens,
                ownSpread,
                events,
                targetMillis,
                gapMillis,
                timeoutMillis,
                patienceMillis,
                worth,
                lateWorth,
                resumable);
    }
}
