package org.tanagerhinge.core.config;

import java.util.List;
import org.tanagerhinge.core.id.WorkspaceId;

/**
 * Describes a customer: the hashes of its bearer keys, and its weight relative to other workspaces in a class.
 *
 * @param keySha256 lower-case hex SHA-256 of each bearer key; the keys themselves are not stored
 */
public record Workspace(WorkspaceId id, List<String> keySha256, double weight) {
    public Workspace {
        keySha256 = List.copyOf(keySha256);
    }
}
