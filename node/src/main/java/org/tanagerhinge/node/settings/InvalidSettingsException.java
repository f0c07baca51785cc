package org.tanagerhinge.node.settings;

import java.util.List;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Thrown for invalid settings; lists all problems, each with its line, value and the expected format. */
public final class InvalidSettingsException extends TanagerhingeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    InvalidSettingsException(String file, List<String> problems) {
        super(file + ":\n  " + String.join("\n  ", problems));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems: unknown settings first, then invalid and missing ones as they were declared. */
    public List<String> problems() {
        return problems;
    }
}
