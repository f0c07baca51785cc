package org.tanagerhinge.core.router;

import java.util.List;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.RunOutcome;

/** Carries out the actions that a router decides on. Methods must return without blocking and without calling back. */
public interface RouterPort {
    /** Sends a message to an agent, if it is linked. */
    void send(ServerId server, Frame.FromRouter frame);

    /**
     * Claims a caller's idempotency key in the platform's store; the decision is passed to {@link
     * RouterCore#onClaimDecided}.
     *
     * @param sequence number that identifies the claim in the decision
     * @param claim the entry to be written
     * @param expectedGeneration the generation that the claim replaces; 0 for a key not used before
     */
    void claim(long sequence, ClaimEntry claim, long expectedGeneration);

    /** Releases a claim in the platform's store, if reachable: nothing ran under it and nothing will. */
    void releaseClaim(ClaimEntry claim);

    /** Keeps claims of other routers, to be written again if the platform's store loses them. */
    void keepClaims(List<StoredClaim> claims);

    /** Returns the latest era that the platform's store has stated to this router. */
    long storeEra();

    /** Asks the platform's store for its era, since an agent stated a later one than known. */
    void checkStoreEra(long stated);

    /** Opens a connection to an agent and reconnects until {@link #unlink}. */
    void link(BackendServer server);

    /** Closes the connection to an agent. */
    void unlink(ServerId server);

    /** Delivers the status and content type of a plain service's answer to the caller. */
    void deliverHead(RequestId request, int status, String contentType);

    /** Delivers the next chunk of the answer to the caller. */
    void deliverChunk(RequestId request, long units, byte[] data);

    /** Ends the caller's answer as complete. */
    void complete(RequestId request, String finishReason, long units);

    /** Reports to the caller why it gets no complete answer; chunks may have been delivered before. */
    void refuse(RequestId request, RequestFailure failure);

    /** Records a failed attempt of a request for later diagnosis. */
    default void attemptFailed(RequestId request, ServerId server, ResultCode code, RunOutcome run, String detail) {}

    /** Records the outcome of an exchange. */
    void exchangeEnded(ExchangeOutcome outcome);

    /** Counts a retry, refusal or other decision by its reason. */
    void countDecision(String reason);

    /** Reports that a newer configuration was applied. */
    void configApplied(ClusterConfig config);
}
