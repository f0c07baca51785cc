package org.tanagerhinge.core.attempt;

import java.util.List;

/**
 * Identifies what may crash a server at which a request runs: the request itself, or a part of its prompt.
 *
 * @param parts parts of the prompt that other requests may share; empty if an answer has shown them to be sound
 */
public record SuspectRun(RequestFingerprint request, List<PartId> parts) {
    public SuspectRun {
        parts = List.copyOf(parts);
    }
}
