package org.tanagerhinge.core.agent;

import java.time.Duration;

/**
 * The settings that bound an agent.
 *
 * @param maxQueuedRequests requests queued in all
 * @param maxQueuedBytes bytes of request bodies queued in all
 * @param creditWindowUnits units sent ahead of a caller before the backend server's stream is paused
 * @param recordTtl how long a non-idempotent request and its result are remembered
 * @param maxRecords requests remembered at the most
 * @param maxRecordBytes bytes of results remembered at the most
 * @param heartbeatInterval how often a silent link shows a sign of life
 * @param deadlineGrace how long past its deadline a run may go on when its router has not cancelled it
 * @param concurrency how the number of requests at the backend server is bounded
 */
public record AgentOptions(
        int maxQueuedRequests,
        long maxQueuedBytes,
        long creditWindowUnits,
        Duration recordTtl,
        int maxRecords,
        long maxRecordBytes,
        Duration heartbeatInterval,
        Duration deadlineGrace,
        ConcurrencyPolicy concurrency) {

    /** How the number of requests at the backend server is bounded. */
    public sealed interface ConcurrencyPolicy {
        /** Found from the measured rate, starting at a number. */
        record Adaptive(int initialLimit, int maxLimit) implements ConcurrencyPolicy {}

        /** Not bounded at all: the naive version that the product is measured against. */
        record Unbounded() implements ConcurrencyPolicy {}
    }

    /** Returns the defaults: 1,024 requests and 64 MiB queued, results kept for an hour, an adaptive limit. */
    public static AgentOptions defaults() {
        return new AgentOptions(
                1024,
                64L << 20,
                512,
                Duration.ofHours(1),
                20_000,
                64L << 20,
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                new ConcurrencyPolicy.Adaptive(8, 512));
    }

    /** Returns these options with another way of bounding concurrency. */
    public AgentOptions withConcurrency(ConcurrencyPolicy newConcurrency) {
        return new AgentOptions(
                maxQueuedRequests,
                maxQueuedBytes,
                creditWindowUnits,
                recordTtl,
                maxRecords,
                maxRecordBytes,
                heartbeatInterval,
                deadlineGrace,
                newConcurrency);
    }

    /** Returns these options with other bounds of the queue. */
    public AgentOptions withQueue(int newMaxQueuedRequests, long newMaxQueuedBytes) {
        return new AgentOptions(
                newMaxQueuedRequests,
                newMaxQueuedBytes,
                creditWindowUnits,
                recordTtl,
                maxRecords,
                maxRecordBytes,
                heartbeatInterval,
                deadlineGrace,
                concurrency);
    }
}
