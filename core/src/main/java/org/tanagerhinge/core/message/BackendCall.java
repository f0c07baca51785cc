package org.tanagerhinge.core.message;

/** What the agent sends to its backend server. */
public sealed interface BackendCall {
    /** Returns the request body. */
    byte[] body();

    /** A chat completion; the body is the caller's JSON. */
    record ModelCall(byte[] body) implements BackendCall {}

    /** A call of a plain service. */
    record ServiceCall(String method, String path, String contentType, byte[] body) implements BackendCall {}
}
