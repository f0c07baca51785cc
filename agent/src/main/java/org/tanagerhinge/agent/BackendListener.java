package org.tanagerhinge.agent;

import org.tanagerhinge.core.result.ResultCode;

/** Takes what a backend server produces; called on the HTTP client's threads, in order for one run. */
interface BackendListener {
    void onHead(long runId, int status, String contentType);

    void onOutput(long runId, long units, byte[] data);

    void onFinished(long runId, String finishReason);

    /** The call failed; {@code began} is false if the backend server provably never got it. */
    void onFailed(long runId, boolean reachedBackend, ResultCode code, String detail);
}
