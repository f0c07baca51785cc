package org.tanagerhinge.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.WorkspaceId;

/** Computes the differences between two profiles documents, one line per difference. */
final class ProfileDiff {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ProfileDiff() {}

    static List<String> between(ProfilesDocument before, ProfilesDocument after) {
        List<String> lines = new ArrayList<>();
        Set<ProfileName> names = new LinkedHashSet<>();
        before.profiles().forEach(profile -> names.add(profile.name()));
        after.profiles().forEach(profile -> names.add(profile.name()));
        for (ProfileName name : names) {
            addProfileLines(name, before.profile(name), after.profile(name), lines);
        }
        Set<WorkspaceId> ids = new LinkedHashSet<>();
        before.workspaces().forEach(workspace -> ids.add(workspace.id()));
        after.workspaces().forEach(workspace -> ids.add(workspace.id()));
        for (WorkspaceId id : ids) {
            addWorkspaceLines(id, before.workspace(id), after.workspace(id), lines);
        }
        return lines;
    }

    private static void addProfileLines(
            ProfileName name, Optional<Profile> before, Optional<Profile> after, List<String> lines) {
        if (before.isEmpty()) {
            lines.add("+ profile " + name);
        } else if (after.isEmpty()) {
            lines.add("- profile " + name);
        } else {
            JsonNode left = jsonTree(before.get());
            JsonNode right = jsonTree(after.get());
            left.fieldNames().forEachRemaining(field -> {
                if (!left.path(field).equals(right.path(field))) {
                    lines.add("~ profile " + name + ": " + field + " " + left.path(field) + " -> " + right.path(field));
                }
            });
        }
    }

    private static void addWorkspaceLines(
            WorkspaceId id, Optional<Workspace> before, Optional<Workspace> after, List<String> lines) {
        if (before.isEmpty()) {
            lines.add("+ workspace " + id);
        } else if (after.isEmpty()) {
            lines.add("- workspace " + id);
        } else if (!before.equals(after)) {
            lines.add("~ workspace " + id);
        }
    }

    private static JsonNode jsonTree(Profile profile) {
        try {
            return JSON.readTree(ConfigJson.render(profile));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("rendered profile is not valid JSON", e);
        }
    }
}
