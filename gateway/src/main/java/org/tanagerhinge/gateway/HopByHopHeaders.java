package org.tanagerhinge.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Headers that concern a single connection and are never passed on. */
final class HopByHopHeaders {
    private static final List<CharSequence> NAMES = List.of(
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            "Keep-Alive",
            "Proxy-Connection");

    private HopByHopHeaders() {}

    /** Removes the headers of a connection, those that its Connection header names among them. */
    static void remove(HttpHeaders headers) {
        for (String line : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : line.split(",")) {
                String plain = name.trim();
                if (!plain.isEmpty() && !plain.equalsIgnoreCase("close") && !plain.equalsIgnoreCase("keep-alive")) {
                    headers.remove(plain);
                }
            }
        }
        for (CharSequence name : NAMES) {
            headers.remove(name);
        }
    }
}
