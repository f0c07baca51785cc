package org.tanagerhinge.cli;

/** Exit codes of the command-line client, documented in {@code docs/OPERATIONS.md}. */
enum ExitCode {
    OK(0),
    /** The document, file or name is invalid; nothing was changed. */
    INVALID(1),
    /** The command line is invalid. */
    USAGE(2),
    /** The document was edited concurrently; nothing was changed. */
    CONFLICT(3),
    /** The platform's key-value service is unreachable, or the outcome of an edit is unknown. */
    PLATFORM(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
