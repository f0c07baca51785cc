package org.tanagerhinge.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers, which concern a single connection and are not forwarded. */
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

    /** Removes all hop-by-hop headers, including those that the Connection header names. */
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
