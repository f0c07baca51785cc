package org.tanagerhinge.cli;

import org.tanagerhinge.core.result.TanagerhingeException;

/** Thrown when a command fails; carries the exit code of the process. */
final class CommandFailedException extends TanagerhingeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CommandFailedException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
