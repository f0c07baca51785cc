package org.tanagerhinge.node.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Lists the ways in which the end of a response is marked, which decide when it is whole.
 *
 * <p>A response that has a length or chunks is whole once all of it has arrived, whatever becomes of the connection.
 * One that ends with its connection is whole only if it can't have been cut: its request was written completely, so that
 * a reset would have been met by a read; the server has closed the connection in order; and it is still running, since
 * the connections of a killed process are closed in order as well.
 */
public enum ResponseFraming {
    /** The response has no body, by its status or its request's method, and is whole with its head. */
    NO_BODY,
    LENGTH,
    CHUNKS,
    CONNECTION_END;

    /**
     * Returns the framing of a response.
     *
     * @param withoutBody whether its status or the method of its request excludes a body
     */
    static ResponseFraming of(HttpResponse response, boolean withoutBody) {
        if (withoutBody) {
            return NO_BODY;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return CHUNKS;
        }
        return response.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CONNECTION_END;
    }
}
