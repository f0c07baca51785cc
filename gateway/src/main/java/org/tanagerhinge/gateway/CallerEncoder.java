package org.tanagerhinge.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes the responses of one caller connection; those to HEAD requests have no body. */
final class CallerEncoder extends HttpResponseEncoder {
    private final CallerConnection connection;

    CallerEncoder(CallerConnection connection) {
        this.connection = connection;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return connection.answersHead() || super.isContentAlwaysEmpty(response);
    }
}
