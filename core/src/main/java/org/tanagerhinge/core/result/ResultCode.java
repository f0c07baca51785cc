package org.tanagerhinge.core.result;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Numbers the ways in which a request can end, for the error body, the {@code X-Tanagerhinge-Result} header, logs and
 * metrics.
 *
 * <p>A number is never reused for another meaning. 1xxx are faults of the call, 2xxx rejections for load or policy,
 * 3xxx failures in transit, 4xxx at-most-once conflicts, 5xxx faults of the system itself. A test keeps the table in
 * {@code docs/RESULT-CODES.md} equal to this type.
 */
public enum ResultCode {
    OK(0, 200, "the answer is whole"),
    UNKNOWN_KEY(1001, 401, "the bearer key is missing or belongs to no workspace"),
    UNKNOWN_PROFILE(1002, 400, "the profile named in X-Tanagerhinge-Profile does not exist"),
    UNKNOWN_MODEL(1003, 404, "no backend server serves the model"),
    UNKNOWN_SERVICE(1004, 404, "no backend server serves the plain service"),
    BODY_TOO_LARGE(1005, 413, "the request body is over the limit"),
    MALFORMED_BODY(1006, 400, "the request body is not the JSON that was expected"),
    HEADER_TOO_LONG(1007, 431, "a request header is over the limit"),
    UNKNOWN_PATH(1008, 404, "the path is not one that the router serves"),
    BAD_METHOD(1009, 405, "the path does not take this method"),
    BAD_IDEMPOTENCY_KEY(1010, 400, "the Idempotency-Key is empty, too long or not printable"),
    QUEUE_FULL(2001, 429, "every queue that could take the request is at its bound"),
    EVICTED(2002, 429, "the request left its queue to make room for one of the same or a higher tier"),
    DEADLINE_UNREACHABLE(2003, 429, "the request could not have started within its deadline"),
    EXPIRED_IN_QUEUE(2004, 504, "the deadline passed while the request was queued"),
    RATE_LIMITED(2005, 429, "the profile's rate or concurrency limit for the workspace is reached"),
    SERVER_LEAVING(2006, 503, "the backend server is leaving and takes no new work"),
    ROUTER_STOPPING(2007, 503, "the router is stopping and takes no new requests"),
    NO_SERVER(2008, 503, "no backend server for the request is reachable"),
    RETRY_BUDGET_SPENT(2009, 503, "the class has no retries left for now"),
    SERVER_DOWN(2010, 503, "the backend server does not answer its agent"),
    REQUEST_HELD(
            2011,
            503,
            "backend servers crashed under this request, or under others that share a part of its prompt; it is not sent for now"),
    NO_SERVER_OF_VERSION(2012, 503, "no backend server of the software version that began the stream is reachable"),
    STREAM_UNKNOWN(2013, 503, "which software version began the resumed stream is not known here"),
    MEMORY_FULL(2014, 503, "the node has no memory left for the request"),
    CONNECTION_LOST(3001, 502, "the connection to the agent was lost while the request may have been running"),
    ENGINE_FAILED(3002, 502, "the backend server failed while it ran the request"),
    ANSWER_CUT(3003, 502, "the answer ended before it was whole"),
    ANSWER_TOO_LATE(3004, 504, "the deadline passed while the request was running"),
    STALLED(3005, 504, "the backend server stopped producing the answer"),
    CALLER_GONE(3006, 499, "the caller hung up"),
    SERVICE_ERROR(3007, 502, "the backend server could not be reached by its agent"),
    CALLER_TOO_SLOW(3008, 408, "the caller did not read its answer"),
    MALFORMED_ANSWER(3009, 502, "the backend server's answer was not valid HTTP; the request may have run"),
    OUTCOME_UNKNOWN(4001, 409, "an earlier call with this key may have run; its outcome is not known"),
    IN_PROGRESS(4002, 409, "an earlier call with this key is still running"),
    CLAIMS_UNSETTLED(4003, 503, "whether the key was used before cannot be told yet"),
    KEY_REUSED(4004, 422, "the key was used before with another request body"),
    NOT_READY(5001, 503, "the node has no configuration yet"),
    INTERNAL(5002, 500, "a fault of the router or agent itself");

    /** Name of the header that carries the number of a failure's code. */
    public static final String HEADER = "X-Tanagerhinge-Result";

    private final int number;
    private final int httpStatus;
    private final String meaning;

    ResultCode(int number, int httpStatus, String meaning) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.meaning = meaning;
    }

    /** Returns the code with a number, if there is one. */
    public static Optional<ResultCode> ofNumber(int number) {
        return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
    }

    public int number() {
        return number;
    }

    public int httpStatus() {
        return httpStatus;
    }

    public String meaning() {
        return meaning;
    }

    /** Returns the name used in metrics, for example {@code queue_full}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether a request that failed with this code may succeed when retried later. */
    public boolean retryable() {
        return switch (this) {
            case QUEUE_FULL,
                    EVICTED,
                    DEADLINE_UNREACHABLE,
                    EXPIRED_IN_QUEUE,
                    RATE_LIMITED,
                    SERVER_LEAVING,
                    ROUTER_STOPPING,
                    NO_SERVER,
                    RETRY_BUDGET_SPENT,
                    SERVER_DOWN,
                    REQUEST_HELD,
                    NO_SERVER_OF_VERSION,
                    STREAM_UNKNOWN,
                    MEMORY_FULL,
                    IN_PROGRESS,
                    CLAIMS_UNSETTLED,
                    NOT_READY -> true;
            default -> false;
        };
    }
}
