package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what becomes of the requests of each rank at each service, in the last seconds, and tells which ranks lose
 * requests while less urgent ones begin.
 */
public final class RankOutcomes {
    /** Period over which requests are counted. */
    public static final int WINDOW_SECONDS = 5;
    /** Smallest number of lost requests that is reported; fewer are lost at single failures of servers. */
    private static final int MIN_LOST = 3;
    /** Smallest share of lost requests that is reported. */
    private static final double MIN_LOST_SHARE = 1.0 / 12;

    private final Map<String, TreeMap<Integer, Counts>> countsByService = new HashMap<>();

    private RankOutcomes() {}

    /** Creates an instance that has counted nothing. */
    public static RankOutcomes create() {
        return new RankOutcomes();
    }

    /**
     * Describes a rank that loses requests while less urgent ones begin.
     *
     * @param asked requests of the rank in the window
     * @param begun requests with a first output
     * @param served requests with a whole answer
     * @param lostByCause requests without one, by cause
     * @param lessUrgentBegun requests of less urgent ranks of the service with a first output
     */
    public record Shortfall(
            String service,
            int rank,
            int asked,
            int begun,
            int served,
            Map<String, Integer> lostByCause,
            int lessUrgentBegun) {
        /** Returns the number of lost requests. */
        public int lost() {
            return lostByCause.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** Holds the counts of one rank, in slots of one second. */
    private static final class Counts {
        private final SlidingCount asked = new SlidingCount();
        private final SlidingCount begun = new SlidingCount();
        private final SlidingCount served = new SlidingCount();
        private final Map<String, SlidingCount> lostByCause = new TreeMap<>();
    }

    private static final class SlidingCount {
        private final int[] counts = new int[WINDOW_SECONDS];
        private final long[] seconds = new long[WINDOW_SECONDS];

        void increment(long second) {
            int slot = (int) Math.floorMod(second, (long) WINDOW_SECONDS);
            if (seconds[slot] != second) {
                seconds[slot] = second;
                counts[slot] = 0;
            }
            counts[slot]++;
        }

        int sum(long second) {
            int sum = 0;
            for (int slot = 0; slot < WINDOW_SECONDS; slot++) {
                sum += seconds[slot] > second - WINDOW_SECONDS && seconds[slot] <= second ? counts[slot] : 0;
            }
            return sum;
        }
    }

    private Counts counts(String service, int rank) {
        return countsByService
                .computeIfAbsent(service, name -> new TreeMap<>())
                .computeIfAbsent(rank, number -> new Counts());
    }

    private static long second(long millis) {
        return Math.floorDiv(millis, 1_000L);
    }

    /** Records a request that has arrived; rank 0 is the most urgent. */
    public void recordAsked(String service, int rank, long nowMillis) {
        counts(service, rank).asked.increment(second(nowMillis));
    }

    /** Records the first output of a request. */
    public void recordBegun(String service, int rank, long nowMillis) {
        counts(service, rank).begun.increment(second(nowMillis));
    }

    /** Records a request that was answered completely. */
    public void recordServed(String service, int rank, long nowMillis) {
        counts(service, rank).served.increment(second(nowMillis));
    }

    /** Records a request that ended without a complete answer. */
    public void recordLost(String service, int rank, String cause, long nowMillis) {
        counts(service, rank)
                .lostByCause
                .computeIfAbsent(cause, name -> new SlidingCount())
                .increment(second(nowMillis));
    }

    /** Returns the ranks that have lost many of their requests while less urgent ones began, in the last seconds. */
    public List<Shortfall> shortfalls(long nowMillis) {
        long second = second(nowMillis);
        List<Shortfall> shortfalls = new ArrayList<>();
        countsByService.forEach((service, ranks) -> {
            int lessUrgentBegun = 0;
            for (Map.Entry<Integer, Counts> entry : ranks.descendingMap().entrySet()) {
                Shortfall found = shortfall(service, entry.getKey(), entry.getValue(), lessUrgentBegun, second);
                if (lessUrgentBegun > 0 && found.lost() >= MIN_LOST && found.lost() > MIN_LOST_SHARE * found.asked()) {
                    shortfalls.add(found);
                }
                lessUrgentBegun += found.begun();
            }
        });
        return shortfalls;
    }

    private static Shortfall shortfall(String service, int rank, Counts counts, int lessUrgentBegun, long second) {
        Map<String, Integer> lostByCause = new TreeMap<>();
        counts.lostByCause.forEach((cause, count) -> {
            int sum = count.sum(second);
            if (sum > 0) {
                lostByCause.put(cause, sum);
            }
        });
        return new Shortfall(
                service,
                rank,
                counts.asked.sum(second),
                counts.begun.sum(second),
                counts.served.sum(second),
                lostByCause,
                lessUrgentBegun);
    }
}
