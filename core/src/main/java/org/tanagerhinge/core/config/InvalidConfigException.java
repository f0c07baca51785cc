package org.tanagerhinge.core.config;

import java.util.List;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Thrown for an invalid document; carries every problem found, each with the offending value. */
public final class InvalidConfigException extends TanagerhingeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    InvalidConfigException(String documentName, List<String> problems) {
        super(documentName + ": " + String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems, in the order in which they were found. */
    public List<String> problems() {
        return problems;
    }
}
