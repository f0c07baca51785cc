package org.tanagerhinge.core.router;

import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunOutcome;

/** What a router's decisions ask of the world. Calls return at once; nothing calls back before they return. */
public interface RouterPort {
    /** Sends a message to an agent, if it is linked. */
    void send(ServerId server, Frame.FromRouter frame);

    /**
     * Claims a caller's key in the platform's store; the answer comes back as {@link RouterCore#onClaimDecided}.
     *
     * @param expectedGeneration the generation that the claim replaces; 0 for a key not used before
     */
    void claim(long sequence, ClaimEntry claim, long expectedGeneration);

    /** Gives a claim back in the platform's store, if that answers: under it nothing ran and nothing will. */
    void releaseClaim(ClaimEntry claim);

    /** Opens a connection to an agent and keeps trying until {@link #unlink}. */
    void link(BackendServer server);

    /** Closes the connection to an agent. */
    void unlink(ServerId server);

    /** Gives the caller the status and content type of a plain service's answer. */
    void deliverHead(RequestId request, int status, String contentType);

    /** Gives the caller the next piece of its answer. */
    void deliverChunk(RequestId request, long units, byte[] data);

    /** Tells the caller that its answer is whole. */
    void complete(RequestId request, String finishReason, long units);

    /** Tells the caller why it gets no whole answer; pieces may have been given before. */
    void refuse(RequestId request, RequestFailure refusal);

    /** Notes that a request's attempt has failed, for whoever explains it later. */
    default void attemptFailed(RequestId request, ServerId server, ResultCode code, RunOutcome run, String detail) {}

    /** Notes how an exchange ended. */
    void exchangeEnded(ExchangeOutcome outcome);

    /** Counts a retry, recovery or other decision by its reason. */
    void countDecision(String reason);

    /** Tells that a newer configuration was applied. */
    void configApplied(ClusterConfig config);
}
