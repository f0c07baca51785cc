package org.tanagerhinge.core.message;

/** Describes the call that an agent makes to its backend server. */
public sealed interface BackendCall {
    /** Returns the request body. */
    byte[] body();

    /** Requests a chat completion; the body is the caller's JSON. */
    record ModelCall(byte[] body) implements BackendCall {}

    /** Calls a plain HTTP service. */
    record ServiceCall(String method, String path, String contentType, byte[] body) implements BackendCall {}
}
