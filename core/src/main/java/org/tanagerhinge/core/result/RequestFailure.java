package org.tanagerhinge.core.result;

import java.time.Duration;
import java.util.Objects;

/**
 * Describes why a request got no complete answer.
 *
 * @param code the numbered reason
 * @param outcome what is known about whether the request ran
 * @param retryAfter time after which the caller should retry; zero if a retry does not help
 * @param detail a sentence for people that names the offending value, if any
 */
public record RequestFailure(ResultCode code, RunOutcome outcome, Duration retryAfter, String detail) {
    public RequestFailure {
        Objects.requireNonNull(code);
        Objects.requireNonNull(outcome);
        Objects.requireNonNull(retryAfter);
        Objects.requireNonNull(detail);
    }

    /** Returns the failure of a request that provably did not run, without a retry time. */
    public static RequestFailure notRun(ResultCode code, String detail) {
        return new RequestFailure(code, RunOutcome.NOT_RUN, Duration.ZERO, detail);
    }

    /** Returns the failure of a request that provably did not run and may be retried after a time. */
    public static RequestFailure notRun(ResultCode code, Duration retryAfter, String detail) {
        return new RequestFailure(code, RunOutcome.NOT_RUN, retryAfter, detail);
    }

    /** Returns the failure of a request that may have run. */
    public static RequestFailure outcomeUnknown(ResultCode code, String detail) {
        return new RequestFailure(code, RunOutcome.UNKNOWN, Duration.ZERO, detail);
    }
}
