package org.tanagerhinge.agent;

import org.tanagerhinge.core.result.ResultCode;

/** Receives the output of runs at the backend server, on HTTP client threads and in order for each run. */
interface BackendListener {
    void onHead(long runId, int status, String contentType);

    /** Reports the software version that the backend server states in an answer, before the output. */
    void onSoftwareVersion(long runId, String softwareVersion);

    void onOutput(long runId, long units, byte[] data);

    void onFinished(long runId, String finishReason);

    /** Reports that a run failed; {@code reachedBackend} is false if the backend server cannot have received it. */
    void onFailed(long runId, boolean reachedBackend, ResultCode code, String detail);
}
