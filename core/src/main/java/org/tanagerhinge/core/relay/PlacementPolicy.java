package org.tanagerhinge.core.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/** Chooses the backend server of a request. */
public interface PlacementPolicy {
    /**
     * Chooses a server.
     *
     * @param candidates servers of the request's service that accept new work and haven't been tried by the request,
     *     ordered by id
     * @param nowMillis time in milliseconds
     * @return the decision; empty if there is no candidate
     */
    Optional<Decision> place(PlacementRequest request, List<ServerInstance> candidates, long nowMillis);

    /** Records that a request is sent to its chosen server. */
    void recordSent(PlacementRequest request, Decision decision, long nowMillis);

    /**
     * Records that a server has prefilled a prompt: its first output came {@code firstOutputMillis} after it was
     * sent.
     */
    void recordPrefill(PlacementRequest request, Decision decision, long firstOutputMillis);

    /** Records the end of a request that was sent, whatever its result. */
    void recordEnd(PlacementRequest request, Decision decision, long nowMillis);

    /** Sets the smallest event gap that any route allows, in milliseconds; 0 if no route sets one. */
    default void updateMinEventGap(long minGapMillis) {}

    /** Records that another node sent parts of a prompt to an engine, at a time in milliseconds. */
    default void recordPeerSent(ServerInstance server, ServiceConfig service, List<PromptPart> parts, long nowMillis) {}

    /**
     * Records how long work takes on a server's host relative to nominal, as the server stated to this node.
     *
     * @param factor 1 is nominal, greater is slower
     * @param statedAtMillis time of the statement in milliseconds
     */
    default void recordWorkTime(ServerInstance server, double factor, long statedAtMillis) {}

    /**
     * Records the work time that a server stated to another node, whose report was received at a time in milliseconds.
     */
    default void recordPeerWorkTime(ServerInstance server, PeerReport.StatedWorkTime stated, long nowMillis) {}

    /** Returns the number of prompt parts that are tracked at all servers together. */
    default int trackedParts() {
        return 0;
    }

    /** Discards the state kept for a server instance that was removed. */
    default void forgetInstance(String instanceId) {}

    /** Returns the demand of this node's own callers by service, for reports to other nodes. */
    default Map<String, LaneDemand> localDemands(long nowMillis) {
        return Map.of();
    }

    /**
     * Returns the prefill rate of engines of nominal speed that this node has measured, in prompt tokens per
     * millisecond; empty until then.
     */
    default OptionalDouble measuredPrefillRate() {
        return OptionalDouble.empty();
    }

    /**
     * Takes over the prefill rate that other nodes have measured until this node has measured its own. Without it, a
     * node that has just started would know the load of the engines, but not how long it takes.
     */
    default void adoptPrefillRate(double tokensPerMilli) {}

    /** Sets the demand that other nodes report, summed by service. */
    default void updatePeerDemands(Map<String, LaneDemand> peerDemands) {}

    /**
     * Holds the result of a placement.
     *
     * @param tokensToPrefill prompt tokens that the server doesn't have cached
     * @param step step in the prefill order within the request's rank, 0 first
     * @param longPrompt whether the prompt counted as long when the decision was made; kept since the bound moves
     *     with the measured prefill rate
     * @param expectedWaitMillis expected prefill time, queueing included, until the first output
     * @param prefillMillis part of that time without queueing
     * @param fetch prefix that the server should fetch from another one instead of prefilling it
     */
    record Decision(
            ServerInstance server,
            int tokensToPrefill,
            int step,
            boolean longPrompt,
            double expectedWaitMillis,
            double prefillMillis,
            Optional<PrefixFetch> fetch) {
        /** Creates a decision without an expected wait and a step in the prefill order. */
        static Decision unordered(ServerInstance server, int tokensToPrefill) {
            return new Decision(server, tokensToPrefill, 0, false, 0, 0, Optional.empty());
        }

        /** Returns this decision with a step in the prefill order. */
        Decision withStep(int newStep) {
            return new Decision(server, tokensToPrefill, newStep, longPrompt, expectedWaitMillis, prefillMillis, fetch);
        }

        /** Returns this decision with a prefix to fetch and the tokens that remain to prefill. */
        Decision withFetch(PrefixFetch newFetch, int newTokensToPrefill) {
            return new Decision(
                    server,
                    newTokensToPrefill,
                    step,
                    longPrompt,
                    expectedWaitMillis,
                    prefillMillis,
                    Optional.of(newFetch));
        }
    }

    /**
     * Describes a prefix that a server should fetch from another one.
     *
     * @param tokens prompt tokens that the source has prefilled and the server lacks
     */
    record PrefixFetch(ServerInstance source, int tokens) {}
}
