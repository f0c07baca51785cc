package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Holds less urgent requests back from a server where more urgent ones are overdue.
 *
 * <p>With too few engines for all requests, everything that is sent fills slots, memory and queues, until the most
 * urgent requests wait while large, less urgent ones run. Free slots and memory don't show this in advance, since
 * prompts share parts, but urgent requests without a first output by their target do. Less urgent requests are
 * accepted again as soon as the overdue ones have output.
 */
public final class RankGate {
    /** Overdue requests that indicate a shortage; a single one may be a lost response or an unusually large prompt. */
    private static final int MIN_OVERDUE = 2;

    private final Map<String, Set<PendingRequest>> pendingByInstanceId = new HashMap<>();

    private RankGate() {}

    /** Creates a gate without pending requests. */
    public static RankGate create() {
        return new RankGate();
    }

    /**
     * A request that was sent and has no output yet, compared by identity. It is not a record, since linking a
     * record's methods as a map key takes 25 ms of a restarted process before its first request is sent.
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
         * Creates a pending request.
         *
         * @param instanceId id of the server instance
         * @param rank 0 is the most urgent
         * @param dueAtMillis time at which its first output is due
         */
        public static PendingRequest of(String instanceId, int rank, long dueAtMillis) {
            return new PendingRequest(instanceId, rank, dueAtMillis);
        }
    }

    /** Records a request that was sent. */
    public void recordSent(PendingRequest request) {
        pendingByInstanceId
                .computeIfAbsent(request.instanceId, id -> new HashSet<>())
                .add(request);
    }

    /** Records that a request has output or has ended. */
    public void recordSettled(PendingRequest request) {
        Set<PendingRequest> pending = pendingByInstanceId.get(request.instanceId);
        if (pending != null && pending.remove(request) && pending.isEmpty()) {
            pendingByInstanceId.remove(request.instanceId);
        }
    }

    /** Returns whether a request of a rank must yield to more urgent ones at a server. */
    public boolean mustYield(int rank, String instanceId, long nowMillis) {
        return pendingByInstanceId.getOrDefault(instanceId, Set.of()).stream()
                        .filter(other -> other.rank < rank && other.dueAtMillis < nowMillis)
                        .limit(MIN_OVERDUE)
                        .count()
                >= MIN_OVERDUE;
    }
}
