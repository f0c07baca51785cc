package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.tanagerhinge.core.attempt.AttemptEnd;

/** Hears of one attempt at a backend server; after {@link #ended} or {@link #failed} nothing more is heard. */
interface AttemptListener {
    /** The attempt's own answer has begun. */
    void responseHead(HttpResponse response, BackendResponseMetadata metadata);

    /** More of the answer's body came; the bytes stay the caller's. */
    void responseBody(ByteBuf bytes);

    /** The answer is whole. */
    void responseCompleted();

    /** The attempt has failed. */
    void attemptFailed(AttemptEnd end, String reason);
}
