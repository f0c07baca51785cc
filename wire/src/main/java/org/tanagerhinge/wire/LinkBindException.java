package org.tanagerhinge.wire;

import org.tanagerhinge.core.result.TanagerhingeException;

/** Thrown when a server cannot listen on its address. */
public final class LinkBindException extends TanagerhingeException {
    private static final long serialVersionUID = 1L;

    LinkBindException(String message, Throwable cause) {
        super(message, cause);
    }
}
