package org.tanagerhinge.core.relay;

import java.util.OptionalDouble;

/**
 * Computes what a request would cost on a model engine and how long its first output would take, from the work that is
 * pending there and the time that work takes on its host.
 */
final class EngineCost {
    /** Prefill rate assumed until one is measured, in tokens per millisecond. */
    private static final double INITIAL_TOKENS_PER_MILLI = 50;
    /** Cost of a request in flight, in prompt tokens: about one decoding step of an engine. */
    private static final int IN_FLIGHT_COST_TOKENS = 150;
    /**
     * Cost of a prompt token to prefill, relative to one already queued at the engine: it delays all requests that
     * wait there, whereas a request with little to prefill overtakes most of the queue.
     */
    private static final double PREFILL_WEIGHT = 8;
    /**
     * Cost of a prompt token of a less urgent request, relative to one that is prefilled first: it doesn't wait for it,
     * but is delayed by it and shares the engine's steps with it afterwards.
     */
    private static final double LESS_URGENT_WEIGHT = 0.5;
    /** Cost of a server in another failure domain, in prompt tokens. */
    private static final int OTHER_DOMAIN_COST_TOKENS = 40;
    /** Mean tokens to prefill of a long prompt, assumed before the first one. */
    private static final double INITIAL_MEAN_LONG_PREFILL_TOKENS = 3_000;
    /** Weight of the newest long prompt in that mean. */
    private static final double SMOOTHING = 0.02;

    private final PrefillRateEstimator prefillRate = PrefillRateEstimator.create(INITIAL_TOKENS_PER_MILLI);
    private double meanLongPrefillTokens = INITIAL_MEAN_LONG_PREFILL_TOKENS;

    private EngineCost() {}

    static EngineCost create() {
        return new EngineCost();
    }

    /** Returns the prompt tokens that an engine of nominal speed prefills per millisecond. */
    double tokensPerMilli() {
        return prefillRate.tokensPerMilli();
    }

    /** Returns the prompt tokens that an engine usually prefills per millisecond. */
    double tokensPerMilli(ServerInstance server) {
        return prefillRate.tokensPerMilli() / server.workTime().usual();
    }

    /**
     * Records the time to first event of a prompt. A sample counts as of an engine of nominal speed; otherwise the rate
     * would follow the fastest engines and overestimate all others.
     */
    void recordPrefill(ServerInstance server, int tokens, long firstEventMillis) {
        prefillRate.recordPrefill(tokens, server.workTime().usual(), firstEventMillis);
    }

    /** Returns the rate that this node has measured; empty until then. */
    OptionalDouble measuredTokensPerMilli() {
        return prefillRate.isMeasured() ? OptionalDouble.of(prefillRate.tokensPerMilli()) : OptionalDouble.empty();
    }

    /** Takes over the rate that other nodes have measured, until this one has measured its own. */
    void adoptTokensPerMilli(double rate) {
        prefillRate.adopt(rate);
    }

    /** Records the tokens to prefill of a long prompt that was sent. */
    void recordLongPrompt(int tokensToPrefill) {
        meanLongPrefillTokens += SMOOTHING * (tokensToPrefill - meanLongPrefillTokens);
    }

    /** Returns the cost of a request on an engine, in prompt tokens of an engine of nominal speed. */
    double cost(PlacementRequest request, ServerInstance server, int tokensToPrefill, long nowMillis) {
        int rank = request.route().priority();
        int inFlightAhead = server.inFlightAheadOf(rank);
        long tokensAhead = server.pendingPrefillTokensAheadOf(rank);
        double cost = tokensAhead
                + LESS_URGENT_WEIGHT * (server.totalPendingPrefillTokens() - tokensAhead)
                + PREFILL_WEIGHT * tokensToPrefill
                + IN_FLIGHT_COST_TOKENS * inFlightAhead;
        if (inFlightAhead >= server.slots()) {
            cost += (double) IN_FLIGHT_COST_TOKENS * 10 * (inFlightAhead - server.slots() + 1);
        }
        cost *= server.workTime().current(nowMillis);
        return server.domain().equals(request.domain()) ? cost : cost + OTHER_DOMAIN_COST_TOKENS;
    }

    /**
     * Returns the time in milliseconds until an engine has prefilled a prompt. Engines prefill small prompts first,
     * so a prompt waits for the share of the pending tokens that is in smaller prompts: half of them at mean size.
     * Returns 0 until this node or another one has measured the prefill rate, since callers would otherwise be rejected
     * on an assumed rate. A slow moment of the host doesn't count, since it ends within most waits.
     */
    double expectedWaitMillis(ServerInstance server, int tokensToPrefill) {
        if (!prefillRate.isKnown()) {
            return 0;
        }
        double tokensAhead =
                server.totalPendingPrefillTokens() * (tokensToPrefill / (tokensToPrefill + meanLongPrefillTokens));
        return (tokensAhead + tokensToPrefill) / tokensPerMilli(server);
    }
}
