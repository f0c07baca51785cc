package org.tanagerhinge.core.message;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.store.StoreEra;

/**
 * Defines the messages between a router and an agent.
 *
 * <p>An attempt number identifies one attempt of one request; it is chosen by the router and unique within a router
 * process. Units are tokens for a model and bytes for a plain service.
 */
public sealed interface Frame {

    /** Marks a message from a router to an agent. */
    sealed interface FromRouter extends Frame {}

    /** Marks a message from an agent to a router. */
    sealed interface FromAgent extends Frame {}

    /** Marks a message that either side sends. */
    sealed interface FromEither extends FromRouter, FromAgent {}

    /**
     * Requests that the agent queues and runs one attempt.
     *
     * @param timeLeft time until the deadline of the request; a duration, because hosts' clocks differ
     * @param execution for a non-idempotent request, the record under which the agent runs it at most once; else empty
     * @param claim the claim of the caller's idempotency key, if the execution is permitted by one
     * @param resumeText text that the caller already has and that is to be continued; empty for a new answer
     * @param resumeFromUnits units that the caller already has
     * @param resumeVersion software version of the engine that wrote that text and must write the rest; empty if unknown
     * @param expectedUnits units that the router expects in the rest of the answer
     */
    record Submit(
            long attempt,
            RequestId request,
            WorkItem work,
            Duration timeLeft,
            Optional<Execution> execution,
            Optional<ClaimTerms> claim,
            String resumeText,
            long resumeFromUnits,
            String resumeVersion,
            long expectedUnits)
            implements FromRouter {}

    /**
     * Requests the output, from its start, of a non-idempotent request that the agent was given before.
     *
     * <p>The agent replies as to a {@link Submit}; {@link NotRun} then means that the execution did not start here and
     * never will.
     *
     * @param incarnation incarnation of the agent that was given the request; another one cannot tell the outcome
     */
    record Attach(long attempt, Execution execution, long incarnation) implements FromRouter {}

    /**
     * Cancels an attempt whose answer is no longer wanted.
     *
     * @param continueRun whether a non-idempotent run continues, so that its caller can fetch the result later
     */
    record Cancel(long attempt, boolean continueRun) implements FromRouter {}

    /** Reports that the caller consumed more units of an attempt's answer. */
    record Credit(long attempt, long units) implements FromRouter {}

    /** Reports that the attached attempt is queued and has not started. */
    record Queued(long attempt) implements FromAgent {}

    /** Reports that the attempt was sent to the backend server; from here on it may have run. */
    record Started(long attempt) implements FromAgent {}

    /** Carries the status and content type of a plain service's answer. */
    record Head(long attempt, int status, String contentType) implements FromAgent {}

    /**
     * Carries a piece of an answer.
     *
     * @param offsetUnits units of the complete answer before this piece
     * @param units units in this piece
     */
    record Chunk(long attempt, long offsetUnits, long units, byte[] data) implements FromAgent {}

    /** Reports that the answer is complete. */
    record Done(long attempt, long totalUnits, String finishReason, AgentLoad load) implements FromAgent {}

    /** Reports that the attempt did not run at this agent and will not. */
    record NotRun(long attempt, ResultCode code, Duration retryAfter, AgentLoad load) implements FromAgent {}

    /** Reports that the attempt ended without a complete answer and may have run. */
    record Failed(long attempt, ResultCode code, String detail, AgentLoad load) implements FromAgent {}

    /** Reports the load of an agent; sent once per heartbeat interval and when the agent starts or stops accepting work. */
    record LoadReport(AgentLoad load) implements FromAgent {}

    /**
     * Reports recent claims of callers' idempotency keys. A router keeps them to write them again if the platform's
     * store loses them; an agent keeps them to report them to routers.
     */
    record ClaimReport(List<StoredClaim> claims) implements FromEither {}

    /**
     * Signals that the sender is alive and which configuration it has.
     *
     * @param acceptsClaimReports whether the sender handles a {@link ClaimReport}, as earlier versions don't
     * @param storeEra latest era of the platform's store that the sender knows of, or {@link StoreEra#UNKNOWN}
     */
    record Heartbeat(ConfigRevision revision, boolean acceptsClaimReports, long storeEra) implements FromEither {
        /** Returns the heartbeat of a process of this version. */
        public static Heartbeat of(ConfigRevision revision, long storeEra) {
            return new Heartbeat(revision, true, storeEra);
        }
    }

    /** Requests the peer's configuration. */
    record ConfigPull() implements FromEither {}

    /** Carries the sender's configuration. */
    record ConfigPush(ClusterConfig config) implements FromEither {}
}
