package org.tanagerhinge.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** The names that callers and backend servers use on the wire, read and written in one place. */
public interface Dialect {
    /** Reads what a caller tells in its request's head. */
    CallerMetadata callerMetadata(HttpRequest request);

    /**
     * Makes the headers of a request to a backend server: takes out what only the relay may set and what the server
     * must not see, and sets what the relay tells.
     *
     * @param headers the caller's headers without those of its connection; changed in place
     */
    void prepareBackendRequest(HttpHeaders headers, BackendRequestMetadata metadata);

    /** Reads what a backend server tells in its answer's head. */
    BackendResponseMetadata responseMetadata(HttpResponse response);

    /** Returns the path at which the platform asks whether this node takes new connections. */
    String readinessPath();
}
