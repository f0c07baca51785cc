package org.tanagerhinge.wire;

import org.tanagerhinge.core.result.TanagerhingeException;

/** Thrown when a packet is not a valid message between routers and agents. */
public final class MalformedFrameException extends TanagerhingeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
