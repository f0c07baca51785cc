package org.tanagerhinge.core.agent;

import java.time.Duration;

/**
 * Holds the limits and intervals of an agent.
 *
 * @param maxQueuedRequests maximum number of queued requests over all classes
 * @param maxQueuedBytes maximum total size of the queued request bodies, in bytes
 * @param creditWindowUnits units that may be sent ahead of a caller before reading from the backend server is paused
 * @param recordTtl how long a non-idempotent request and its result are remembered
 * @param maxRecords maximum number of remembered requests
 * @param maxRecordBytes maximum total size of the remembered results, in bytes
 * @param heartbeatInterval maximum time between two load reports to a router
 * @param deadlineGrace how long a run may continue past its deadline if its router has not cancelled it
 * @param concurrency how the number of requests at the backend server is limited
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

    /** Selects how the number of requests at the backend server is limited. */
    public sealed interface ConcurrencyPolicy {
        /** Adapts the limit to the measured throughput, between 1 and {@code maxLimit}. */
        record Adaptive(int initialLimit, int maxLimit) implements ConcurrencyPolicy {}

        /** Sets no limit; the baseline of the benchmark. */
        record Unbounded() implements ConcurrencyPolicy {}
    }

    /**
     * Returns the defaults: 1,024 requests and 64 MiB queued, results kept for an hour, an adaptive concurrency limit.
     */
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

    /** Returns these options with another concurrency policy. */
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

    /** Returns these options with other queue limits. */
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
