package org.tanagerhinge.core.relay;

import java.util.Arrays;

/**
 * Holds the requests in flight at a backend server, and the prompt tokens that it still has to prefill for them, by the
 * rank of the requests. Servers admit and prefill the more urgent ones first.
 */
public final class RankedLoad {
    /** Number of ranks that are told apart; all less urgent ones count as the last. */
    public static final int RANKS = 10;

    private final int[] inFlight = new int[RANKS];
    private final long[] pendingPrefillTokens = new long[RANKS];
    private int totalInFlight;
    private long totalPendingPrefillTokens;

    private RankedLoad() {}

    /** Creates an empty load. */
    public static RankedLoad create() {
        return new RankedLoad();
    }

    /** Creates a load of requests whose ranks are unknown; they count as the most urgent. */
    public static RankedLoad of(int inFlight, long pendingPrefillTokens) {
        RankedLoad load = new RankedLoad();
        load.add(0, inFlight, pendingPrefillTokens);
        return load;
    }

    /** Returns a copy. */
    public RankedLoad copy() {
        RankedLoad copy = new RankedLoad();
        copy.add(this);
        return copy;
    }

    /** Adds requests in flight and tokens to prefill; both may be negative. */
    public void add(int rank, int requests, long tokens) {
        int index = Math.clamp(rank, 0, RANKS - 1);
        inFlight[index] += requests;
        pendingPrefillTokens[index] += tokens;
        totalInFlight += requests;
        totalPendingPrefillTokens += tokens;
    }

    /** Adds another load. */
    public void add(RankedLoad other) {
        for (int rank = 0; rank < RANKS; rank++) {
            add(rank, other.inFlight[rank], other.pendingPrefillTokens[rank]);
        }
    }

    /** Subtracts another load; nothing falls below zero, since reports of the load may be lost. */
    public void subtract(RankedLoad other) {
        for (int rank = 0; rank < RANKS; rank++) {
            add(
                    rank,
                    -Math.min(inFlight[rank], other.inFlight[rank]),
                    -Math.min(pendingPrefillTokens[rank], other.pendingPrefillTokens[rank]));
        }
    }

    /** Replaces the requests in flight by some whose ranks are unknown. */
    void replaceInFlight(int requests) {
        Arrays.fill(inFlight, 0);
        totalInFlight = 0;
        add(0, requests, 0);
    }

    /** Returns the requests in flight. */
    public int inFlight() {
        return totalInFlight;
    }

    /** Returns the requests in flight of one rank. */
    public int inFlight(int rank) {
        return inFlight[rank];
    }

    /** Returns the requests in flight that are at least as urgent as a rank. */
    public int inFlightUpTo(int rank) {
        int sum = 0;
        for (int index = 0; index <= Math.min(rank, RANKS - 1); index++) {
            sum += inFlight[index];
        }
        return sum;
    }

    /** Returns the prompt tokens to prefill. */
    public long pendingPrefillTokens() {
        return totalPendingPrefillTokens;
    }

    /** Returns the prompt tokens to prefill for requests of one rank. */
    public long pendingPrefillTokens(int rank) {
        return pendingPrefillTokens[rank];
    }

    /** Returns the prompt tokens to prefill for requests that are at least as urgent as a rank. */
    public long pendingPrefillTokensUpTo(int rank) {
        long sum = 0;
        for (int index = 0; index <= Math.min(rank, RANKS - 1); index++) {
            sum += pendingPrefillTokens[index];
        }
        return sum;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RankedLoad load
                && Arrays.equals(inFlight, load.inFlight)
                && Arrays.equals(pendingPrefillTokens, load.pendingPrefillTokens);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(inFlight) + Arrays.hashCode(pendingPrefillTokens);
    }

    @Override
    public String toString() {
        return "RankedLoad[inFlight=" + Arrays.toString(inFlight) + ", pendingPrefillTokens="
                + Arrays.toString(pendingPrefillTokens) + "]";
    }
}
