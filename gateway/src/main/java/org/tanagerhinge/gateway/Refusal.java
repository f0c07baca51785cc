package org.tanagerhinge.gateway;

import org.tanagerhinge.core.result.ResultCode;

/**
 * A final answer of the relay's own.
 *
 * @param status HTTP status; 429 and 503 promise that the request has not run and won't
 * @param code numbered result, for logs, metrics and the caller
 * @param retryAfterMillis when the caller may come back; 0 to say nothing of it
 */
record Refusal(int status, ResultCode code, long retryAfterMillis) {
    /** Returns what the caller may take for known of whether its request ran. */
    String executionStatus() {
        return status == 503 || status < 500 ? "not_run" : "unknown";
    }

    static Refusal of(int status, ResultCode code) {
        return new Refusal(status, code, 0);
    }

    /** Returns the refusal of a request that has not run and won't. */
    static Refusal notRun(ResultCode code, long retryAfterMillis) {
        return new Refusal(503, code, retryAfterMillis);
    }
}
