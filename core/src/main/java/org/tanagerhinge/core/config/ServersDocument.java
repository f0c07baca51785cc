package org.tanagerhinge.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.id.ServerId;

/**
 * Holds all backend servers and their desired states at one revision.
 *
 * @param revision incremented by one with each accepted edit
 * @param changeIds ids of the latest edits, newest first, so that an operator who lost the response can tell whether
 *     the edit was accepted
 */
public record ServersDocument(long revision, List<String> changeIds, List<BackendServer> servers) {
    /** The document before the first edit. */
    public static final ServersDocument EMPTY = new ServersDocument(0, List.of(), List.of());

    public ServersDocument {
        changeIds = List.copyOf(changeIds);
        servers = List.copyOf(servers);
    }

    /** Returns the server with an id, if it is listed. */
    public Optional<BackendServer> server(ServerId id) {
        return servers.stream().filter(server -> server.id().equals(id)).findFirst();
    }

    /** Returns this document with one server added or replaced. */
    public ServersDocument withServer(BackendServer changed) {
        List<BackendServer> updated = new ArrayList<>(servers);
        updated.removeIf(server -> server.id().equals(changed.id()));
        updated.add(changed);
        updated.sort((left, right) -> left.id().compareTo(right.id()));
        return new ServersDocument(revision, changeIds, updated);
    }

    /** Returns the same content at the next revision, with the id of the edit that made it. */
    public ServersDocument nextRevision(long newRevision, String changeId) {
        return new ServersDocument(newRevision, ChangeIds.prepend(changeId, changeIds), servers);
    }
}
