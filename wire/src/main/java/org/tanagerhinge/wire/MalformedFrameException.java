package org.tanagerhinge.wire;

import org.tanagerhinge.core.result.TanagerhingeException;

/** Thrown for a packet that is not a message between routers and agents. */
public final class MalformedFrameException extends TanagerhingeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
