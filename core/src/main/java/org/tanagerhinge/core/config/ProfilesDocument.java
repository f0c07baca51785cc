package org.tanagerhinge.core.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.WorkspaceId;

/**
 * Holds all profiles and workspaces at one revision.
 *
 * @param revision incremented by one with each accepted edit
 * @param changeIds ids of the latest edits, newest first, so that an operator who lost the response can tell whether
 *     the edit was accepted
 */
public record ProfilesDocument(
        long revision, List<String> changeIds, List<Profile> profiles, List<Workspace> workspaces) {
    /** The document before the first edit. */
    public static final ProfilesDocument EMPTY = new ProfilesDocument(0, List.of(), List.of(), List.of());

    public ProfilesDocument {
        changeIds = List.copyOf(changeIds);
        profiles = List.copyOf(profiles);
        workspaces = List.copyOf(workspaces);
    }

    /** Returns the profile with a name, if there is one. */
    public Optional<Profile> profile(ProfileName name) {
        return profiles.stream().filter(profile -> profile.name().equals(name)).findFirst();
    }

    /** Returns the workspaces by the SHA-256 hash of each of their bearer keys. */
    public Map<String, Workspace> workspacesByKeySha256() {
        Map<String, Workspace> byKey = new TreeMap<>();
        for (Workspace workspace : workspaces) {
            workspace.keySha256().forEach(hash -> byKey.put(hash, workspace));
        }
        return byKey;
    }

    /** Returns the workspace with an id, if there is one. */
    public Optional<Workspace> workspace(WorkspaceId id) {
        return workspaces.stream()
                .filter(workspace -> workspace.id().equals(id))
                .findFirst();
    }

    /** Returns the same content at the next revision, with the id of the edit that made it. */
    public ProfilesDocument nextRevision(long newRevision, String changeId) {
        return new ProfilesDocument(newRevision, ChangeIds.prepend(changeId, changeIds), profiles, workspaces);
    }
}
