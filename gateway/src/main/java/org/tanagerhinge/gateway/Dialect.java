package org.tanagerhinge.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the headers and paths that a deployment uses on the wire. */
public interface Dialect {
    /** Returns the metadata in the head of a caller's request. */
    CallerMetadata callerMetadata(HttpRequest request);

    /**
     * Prepares the headers of a request to a backend server: removes those that only the relay may set or that the
     * server must not see, and sets those of the relay.
     *
     * @param headers the caller's headers without hop-by-hop headers; changed in place
     */
    void prepareBackendRequest(HttpHeaders headers, BackendRequestMetadata metadata);

    /** Returns the metadata in the head of a backend server's response. */
    BackendResponseMetadata responseMetadata(HttpResponse response);

    /** Sets the headers of a health check, so that no other server runs it in place of the one with this id. */
    void prepareHealthCheck(HttpHeaders headers, String serverId);

    /** Returns whether the response to a health check can come from the server with this id. */
    boolean isHealthOf(HttpResponse response, String serverId);

    /** Returns the path at which the platform checks whether this node accepts new connections. */
    String readinessPath();
}
