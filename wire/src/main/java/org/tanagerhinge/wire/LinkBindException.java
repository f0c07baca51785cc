package org.tanagerhinge.wire;

import org.tanagerhinge.core.result.TanagerhingeException;

/** Thrown when an address cannot be listened on. */
public final class LinkBindException extends TanagerhingeException {
    private static final long serialVersionUID = 1L;

    LinkBindException(String message, Throwable cause) {
        super(message, cause);
    }
}
