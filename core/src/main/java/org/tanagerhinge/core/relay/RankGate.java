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
    private static final int SHORTAGE = 2;

    private final Map<String, Set<PendingRequest>> byServer = new HashMap<>();

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
        private final String server;
        private final int rank;
        private final long dueAt;

        private PendingRequest(String server, int rank, long dueAt) {
            this.server = server;
            this.rank = rank;
            this.dueAt = dueAt;
        }

        /**
         * Returns a request.
         *
         * @param server name of the server's life
         * @param rank 0 is the most urgent
         * @param dueAt time at which its first output is due, in milliseconds
         */
        public static PendingRequest of(String server, int rank, long dueAt) {
            return new PendingRequest(server, rank, dueAt);
        }
    }

    /** Notes a request that was sent. */
    public void sent(PendingRequest request) {
        byServer.computeIfAbsent(request.server, life -> new HashSet<>()).add(request);
    }

    /** Notes that a request has output, or has ended. */
    public void settled(PendingRequest request) {
        Set<PendingRequest> waiting = byServer.get(request.server);
        if (waiting != null && waiting.remove(request) && waiting.isEmpty()) {
            byServer.remove(request.server);
        }
    }

    /** Returns whether a request has to yield to more urgent ones at a server. */
    public boolean yields(int rank, String server, long now) {
        return byServer.getOrDefault(server, Set.of()).stream()
                        .filter(other -> other.rank < rank && other.dueAt < now)
                        .limit(SHORTAGE)
                        .count()
                >= SHORTAGE;
    }
}
