package org.tanagerhinge.core.agent;

import java.time.Duration;

/**
 * The settings that bound an agent.
 *
 * @param queueBound requests queued in all
 * @param queueBytes bytes of request bodies queued in all
 * @param creditUnits units sent ahead of a caller before the backend server's stream is paused
 * @param recordTtl how long a non-idempotent request and its result are remembered
 * @param recordBound requests remembered at the most
 * @param recordBytes bytes of results remembered at the most
 * @param heartbeat how often a silent link shows a sign of life
 * @param overdueGrace how long past its deadline a run may go on when its router has not cancelled it
 * @param concurrency how the number of requests at the backend server is bounded
 */
public record AgentOptions(
        int queueBound,
        long queueBytes,
        long creditUnits,
        Duration recordTtl,
        int recordBound,
        long recordBytes,
        Duration heartbeat,
        Duration overdueGrace,
        Concurrency concurrency) {

    /** How the number of requests at the backend server is bounded. */
    public sealed interface Concurrency {
        /** Found from the measured rate, starting at a number. */
        record Adaptive(int start, int most) implements Concurrency {}

        /** Not bounded at all: the naive version that the product is measured against. */
        record Unbounded() implements Concurrency {}
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
                new Concurrency.Adaptive(8, 512));
    }

    /** Returns these options with another way of bounding concurrency. */
    public AgentOptions withConcurrency(Concurrency next) {
        return new AgentOptions(
                queueBound,
                queueBytes,
                creditUnits,
                recordTtl,
                recordBound,
                recordBytes,
                heartbeat,
                overdueGrace,
                next);
    }

    /** Returns these options with other bounds of the queue. */
    public AgentOptions withQueue(int bound, long bytes) {
        return new AgentOptions(
                bound, bytes, creditUnits, recordTtl, recordBound, recordBytes, heartbeat, overdueGrace, concurrency);
    }
}
