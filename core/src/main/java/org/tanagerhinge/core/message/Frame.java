package org.tanagerhinge.core.message;

import java.time.Duration;
import java.util.Optional;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.result.ResultCode;

/**
 * One message between a router and an agent.
 *
 * <p>An attempt number names one attempt of one request; it is chosen by the router and unique within a router run.
 * Units are tokens for a model and bytes for a plain service.
 */
public sealed interface Frame {

    /** A message that a router sends to an agent. */
    sealed interface FromRouter extends Frame {}

    /** A message that an agent sends to a router. */
    sealed interface FromAgent extends Frame {}

    /** A message that either side sends. */
    sealed interface FromEither extends FromRouter, FromAgent {}

    /**
     * Asks the agent to queue and run one attempt.
     *
     * @param timeLeft time until the deadline of the request; a duration, because hosts' clocks differ
     * @param execution set for a non-idempotent request: the record under which the agent runs it at most once
     * @param resumeText text that the caller already has, to be continued; empty for a fresh answer
     * @param resumeFromUnits units that the caller already has
     * @param expectedUnits how many units the router expects the rest of the answer to have
     */
    record Submit(
            long attempt,
            RequestId request,
            WorkItem work,
            Duration timeLeft,
            Optional<Execution> execution,
            String resumeText,
            long resumeFromUnits,
            long expectedUnits)
            implements FromRouter {}

    /**
     * Asks the agent for the output of a non-idempotent request that it was given before, from its beginning on.
     *
     * <p>The agent answers as to a submit; {@link NotRun} then means that this execution never began here and never
     * will.
     *
     * @param incarnation the agent run that was given the request; another run cannot tell
     */
    record Attach(long attempt, Execution execution, long incarnation) implements FromRouter {}

    /**
     * Says that nobody waits for an attempt any more.
     *
     * @param continueRun whether a non-idempotent run goes on all the same, for its caller to fetch the result later
     */
    record Cancel(long attempt, boolean continueRun) implements FromRouter {}

    /** Says that the caller took more units of an attempt's answer. */
    record Credit(long attempt, long units) implements FromRouter {}

    /** The attempt that was attached to is queued here and has not begun. */
    record Queued(long attempt) implements FromAgent {}

    /** The attempt is at the backend server; from here on it may have run. */
    record Started(long attempt) implements FromAgent {}

    /** The status and content type of a plain service's answer. */
    record Head(long attempt, int status, String contentType) implements FromAgent {}

    /**
     * A piece of an answer.
     *
     * @param offsetUnits units of the whole answer before this piece
     * @param units units in this piece
     */
    record Chunk(long attempt, long offsetUnits, long units, byte[] data) implements FromAgent {}

    /** The answer is whole. */
    record Done(long attempt, long totalUnits, String finishReason, AgentLoad load) implements FromAgent {}

    /** The attempt did not run here and will not. */
    record NotRun(long attempt, ResultCode code, Duration retryAfter, AgentLoad load) implements FromAgent {}

    /** The attempt ended without a whole answer and may have run. */
    record Failed(long attempt, ResultCode code, String detail, AgentLoad load) implements FromAgent {}

    /** Tells how loaded an agent is; sent on its own when nothing else was sent for a while. */
    record LoadReport(AgentLoad load) implements FromAgent {}

    /** Shows that the sender is alive, and which configuration it has. */
    record Heartbeat(ConfigRevision revision) implements FromEither {}

    /** Asks for the peer's configuration. */
    record ConfigPull() implements FromEither {}

    /** Gives the sender's configuration. */
    record ConfigPush(ClusterConfig config) implements FromEither {}
}
