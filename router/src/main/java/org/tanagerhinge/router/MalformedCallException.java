package org.tanagerhinge.router;

import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Thrown for a request that cannot be parsed; carries the failure that its caller receives. */
final class MalformedCallException extends TanagerhingeException {
    private static final long serialVersionUID = 1L;

    private final transient RequestFailure failure;

    MalformedCallException(RequestFailure failure) {
        super(failure.detail());
        this.failure = failure;
    }

    RequestFailure failure() {
        return failure;
    }
}
