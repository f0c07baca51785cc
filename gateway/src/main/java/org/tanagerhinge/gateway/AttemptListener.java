package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.tanagerhinge.core.attempt.AttemptFailure;

/**
 * Receives the events of one attempt at a backend server; none follow {@link #responseCompleted} or {@link
 * #attemptFailed}.
 */
interface AttemptListener {
    /** Called when the head of the attempt's own response has arrived. */
    void responseHead(HttpResponse response, BackendResponseMetadata metadata);

    /** Called for each piece of the response body; the caller keeps ownership of the bytes. */
    void responseBody(ByteBuf bytes);

    /** Returns the bytes of the response that are kept and not accounted for elsewhere. */
    default long heldBytes() {
        return 0;
    }

    /** Called when the response is complete. */
    void responseCompleted();

    /** Called when the attempt has failed. */
    void attemptFailed(AttemptFailure failure, String reason);
}
