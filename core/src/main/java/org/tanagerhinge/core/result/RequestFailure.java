package org.tanagerhinge.core.result;

import java.time.Duration;
import java.util.Objects;

/**
 * Says why a request got no whole answer.
 *
 * @param code the numbered reason
 * @param outcome what is known about whether the request ran
 * @param retryAfter when the caller should come back; zero when coming back does not help
 * @param detail a sentence for people, naming the offending value where there is one
 */
public record RequestFailure(ResultCode code, RunOutcome outcome, Duration retryAfter, String detail) {
    public RequestFailure {
        Objects.requireNonNull(code);
        Objects.requireNonNull(outcome);
        Objects.requireNonNull(retryAfter);
        Objects.requireNonNull(detail);
    }

    /** Returns a refusal of a request that provably did not run, with no advice to come back. */
    public static RequestFailure notRun(ResultCode code, String detail) {
        return new RequestFailure(code, RunOutcome.NOT_RUN, Duration.ZERO, detail);
    }

    /** Returns a refusal of a request that provably did not run and may be tried again after a while. */
    public static RequestFailure notRun(ResultCode code, Duration retryAfter, String detail) {
        return new RequestFailure(code, RunOutcome.NOT_RUN, retryAfter, detail);
    }

    /** Returns the end of a request that may have run. */
    public static RequestFailure outcomeUnknown(ResultCode code, String detail) {
        return new RequestFailure(code, RunOutcome.UNKNOWN, Duration.ZERO, detail);
    }
}
