package org.tanagerhinge.node.http;

import io.netty.handler.codec.DecoderException;

/** Thrown for bytes of a server that HTTP/1.1 does not allow as a response. */
public final class MalformedResponseException extends DecoderException {
    private static final long serialVersionUID = 1;

    MalformedResponseException(String message) {
        super(message);
    }
}
