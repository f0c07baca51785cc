package org.tanagerhinge.core.result;

/** Base class of the checked exceptions of this project; subclasses carry the details of the failure. */
public class TanagerhingeException extends Exception {
    /** Creates an exception with a message for people. */
    public TanagerhingeException(String message) {
        super(message);
    }

    /** Creates an exception with a message for people and its cause. */
    public TanagerhingeException(String message, Throwable cause) {
        super(message, cause);
    }
}
