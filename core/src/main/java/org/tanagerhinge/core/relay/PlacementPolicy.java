package org.tanagerhinge.core.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A policy that chooses the backend server of a request. */
public interface PlacementPolicy {
    /**
     * Chooses a server.
     *
     * @param candidates servers of the request's service that take new work and that it hasn't been sent to yet, in the
     *     order of their ids
     * @param now time in milliseconds
     * @return the server, with the prompt tokens that it is expected to read; empty if there is none to send to
     */
    Optional<Decision> place(PlacementRequest request, List<ServerInstance> candidates, long nowMillis);

    /** Notes that a request is sent to the server that was chosen for it. */
    void recordSent(PlacementRequest request, Decision decision, long nowMillis);

    /** Notes that a server has read a prompt: its first output came some milliseconds after it was sent. */
    void recordPrefill(PlacementRequest request, Decision decision, long firstOutputMillis);

    /** Notes that a request that was sent has ended, whichever way. */
    void recordEnd(PlacementRequest request, Decision decision, long nowMillis);

    /** Takes the tightest pause between events that a route allows, in milliseconds; 0 if none states one. */
    default void updateMinEventGap(long minGapMillis) {}

    /** Notes that another node gave an engine parts of a prompt to read, at a time in milliseconds. */
    default void recordPeerPrefill(
            ServerInstance server, ServiceConfig service, List<PromptPart> parts, long nowMillis) {}

    /** Forgets what is known of a life of a server that has ended. */
    default void forgetInstance(String instanceId) {}

    /** Returns the demand of this node's own callers by service, for the other nodes. */
    default Map<String, LaneDemand> localDemands(long nowMillis) {
        return Map.of();
    }

    /** Takes the demand that the other nodes tell of, added up by service. */
    default void updatePeerDemands(Map<String, LaneDemand> peerDemands) {}

    /**
     * A choice.
     *
     * @param tokensToRead prompt tokens that the server doesn't hold yet
     * @param step its place in the order in which the server should read prompts of one rank, 0 first
     * @param longPrompt whether the prompt counted as long when the choice was made; the bound moves with the measured
     *     speed, so it must not be judged anew when the request ends
     * @param waitMillis expected time until its first output, as far as it is the reading of prompts
     * @param fetch what the server should fetch from another one in place of reading it
     */
    record Decision(
            ServerInstance server,
            int tokensToPrefill,
            int step,
            boolean longPrompt,
            double expectedWaitMillis,
            Optional<PrefixFetch> fetch) {
        /** Returns a choice that was made without regard to what is to be read before a request, and in which order. */
        static Decision unordered(ServerInstance server, int tokensToPrefill) {
            return new Decision(server, tokensToPrefill, 0, false, 0, Optional.empty());
        }

        /** Returns the same choice with a place in the order of reading. */
        Decision withStep(int newStep) {
            return new Decision(server, tokensToPrefill, newStep, longPrompt, expectedWaitMillis, fetch);
        }

        /** Returns the same choice with a fetch, and what is still to be read then. */
        Decision withFetch(PrefixFetch newFetch, int newTokensToPrefill) {
            return new Decision(
                    server, newTokensToPrefill, step, longPrompt, expectedWaitMillis, Optional.of(newFetch));
        }
    }

    /**
     * What a server should take from another one.
     *
     * @param tokens prompt tokens that it lacks and the other one has read
     */
    record PrefixFetch(ServerInstance source, int tokens) {}
}
