package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Turns less urgent requests away from a server where more urgent ones wait longer than they may.
 *
 * <p>Answers the load pattern of too few engines for all kinds of requests together: whatever is sent fills places,
 * memory and queues, and in the end the most urgent requests wait until their callers leave while large, less urgent ones
 * run. Neither places nor memory tell of it beforehand, since prompts share parts; that urgent requests have no first
 * output by their target tells it at once. As soon as they have, the others are taken again, so that no rank is shut out
 * for longer than the shortage lasts.
 */
public final class RankGate {
    /** Overdue requests that show a shortage: one may be a lost answer, or a prompt of unusual size. */
    private static final int MIN_OVERDUE = 2;

    private final Map<String, Set<PendingRequest>> pendingByInstanceId = new HashMap<>();

    private RankGate() {}

    /** Returns a gate that has seen no request. */
    public static RankGate create() {
        return new RankGate();
    }

    /**
     * A request that was sent and has no output yet; no two are equal. It is no record, since linking the methods of a
     * record as a key takes 25 ms of a restarted process before its first request is sent.
     */
    public static final class PendingRequest {
        private final String instanceId;
        private final int rank;
        private final long dueAtMillis;

        private PendingRequest(String instanceId, int rank, long dueAtMillis) {
            this.instanceId = instanceId;
            this.rank = rank;
            this.dueAtMillis = dueAtMillis;
        }

        /**
         * Returns a request.
         *
         * @param server name of the server's life
         * @param rank 0 is the most urgent
         * @param dueAt time at which its first output is due, in milliseconds
         */
        public static PendingRequest of(String instanceId, int rank, long dueAtMillis) {
            return new PendingRequest(instanceId, rank, dueAtMillis);
        }
    }

    /** Notes a request that was sent. */
    public void recordSent(PendingRequest request) {
        pendingByInstanceId
                .computeIfAbsent(request.instanceId, id -> new HashSet<>())
                .add(request);
    }

    /** Notes that a request has output, or has ended. */
    public void recordSettled(PendingRequest request) {
        Set<PendingRequest> pending = pendingByInstanceId.get(request.instanceId);
        if (pending != null && pending.remove(request) && pending.isEmpty()) {
            pendingByInstanceId.remove(request.instanceId);
        }
    }

    /** Returns whether a request has to yield to more urgent ones at a server. */
    public boolean mustYield(int rank, String instanceId, long nowMillis) {
        return pendingByInstanceId.getOrDefault(instanceId, Set.of()).stream()
                        .filter(other -> other.rank < rank && other.dueAtMillis < nowMillis)
                        .limit(MIN_OVERDUE)
                        .count()
                >= MIN_OVERDUE;
    }
}
