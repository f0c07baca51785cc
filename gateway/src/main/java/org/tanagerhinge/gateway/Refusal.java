package org.tanagerhinge.gateway;

import org.tanagerhinge.core.result.ResultCode;

/**
 * Describes a response that the relay gives instead of a backend server.
 *
 * @param status HTTP status; 429 and 503 guarantee that the request was not and will not be executed
 * @param code numbered result, for logs, metrics and the caller
 * @param retryAfterMillis when the caller may retry, in milliseconds; 0 for no statement
 */
record Refusal(int status, ResultCode code, long retryAfterMillis) {
    /** Returns the log label that says whether the request may have been executed. */
    String executionStatus() {
        return status == 503 || status < 500 ? "not_run" : "unknown";
    }

    static Refusal of(int status, ResultCode code) {
        return new Refusal(status, code, 0);
    }

    /** Returns the refusal of a request that was not and will not be executed. */
    static Refusal notExecuted(ResultCode code, long retryAfterMillis) {
        return new Refusal(503, code, retryAfterMillis);
    }
}
