package org.tanagerhinge.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.core.text.NameSuggestion;
import org.tanagerhinge.node.platform.ConfigStore;

/** Commands that read and edit profiles. */
final class ProfileCommands {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProfileCommands() {}

    /** Prints all profiles. */
    @Command(name = "list", description = "List the profiles")
    public static final class ListProfiles extends PlatformCommand {
        @Override
        void run() throws TanagerhingeException {
            ProfilesDocument document = configStore().read().profiles();
            if (json()) {
                out().println(ConfigJson.render(document));
                return;
            }
            Table table = Table.of(
                    "PROFILE", "TIER", "IDEMPOTENT", "FIRST", "BETWEEN", "WHOLE", "FOR", "DEADLINE", "SHARE", "QUEUE");
            for (Profile profile : document.profiles()) {
                table.addRow(
                        profile.name(),
                        profile.tier(),
                        profile.idempotent() ? "yes" : "no",
                        profile.firstTokenTarget().toMillis() + "ms",
                        profile.interTokenTarget().toMillis() + "ms",
                        profile.completionTarget().toMillis() + "ms",
                        profile.percentile() + "%",
                        profile.deadline().toMillis() + "ms",
                        profile.sharePercent() + "%",
                        profile.maxQueuedRequests());
            }
            out().print(table);
            out().println("revision " + document.revision() + ", "
                    + document.workspaces().size() + " workspaces");
        }
    }

    /** Prints one profile. */
    @Command(name = "show", description = "Show one profile")
    public static final class ShowProfile extends PlatformCommand {
        @Arguments(title = "NAME", description = "Name of the profile")
        @Required
        private String name;

        @Override
        void run() throws TanagerhingeException {
            out().println(ConfigJson.render(findProfile(configStore().read().profiles(), name)));
        }
    }

    /** Replaces the profiles and workspaces with those of a file. */
    @Command(
            name = "apply",
            description =
                    "Replace the profiles and workspaces with those of a file; its \"revision\", if present, must be"
                            + " the newest one")
    public static final class ApplyProfiles extends PlatformCommand {
        @Arguments(
                title = "FILE",
                description = "JSON file with profiles and workspaces, as 'profile list --json' prints")
        @Required
        private String file;

        @Override
        void run() throws TanagerhingeException {
            ProfilesDocument desired = ConfigJson.parseProfiles(InputFile.readText(file));
            ConfigStore store = configStore();
            ProfilesDocument before = store.read().profiles();
            long baseRevision = desired.revision() == 0 ? before.revision() : desired.revision();
            reportEdit(
                    this,
                    store,
                    before,
                    desired,
                    store.editProfiles(baseRevision, current -> withContentOf(current, desired)));
        }
    }

    /** Changes fields of one profile. */
    @Command(
            name = "set",
            description = "Change fields of one profile, for example: set card firstTokenTargetMillis=800")
    public static final class SetProfile extends PlatformCommand {
        @Arguments(
                title = {"NAME", "FIELD=VALUE"},
                description = "Name of the profile, then the fields to change")
        @Required
        private List<String> arguments = new ArrayList<>();

        @Override
        void run() throws TanagerhingeException {
            ConfigStore store = configStore();
            ProfilesDocument before = store.read().profiles();
            Profile profile = findProfile(before, arguments.get(0));
            ProfilesDocument desired = withFields(before, profile, arguments.subList(1, arguments.size()));
            reportEdit(
                    this,
                    store,
                    before,
                    desired,
                    store.editProfiles(before.revision(), current -> withContentOf(current, desired)));
        }
    }

    /** Prints the differences between a file and the active profiles. */
    @Command(name = "diff", description = "Show the differences between a file and the active profiles")
    public static final class DiffProfiles extends PlatformCommand {
        @Arguments(title = "FILE", description = "JSON file with profiles and workspaces")
        @Required
        private String file;

        @Override
        void run() throws TanagerhingeException {
            ProfilesDocument desired = ConfigJson.parseProfiles(InputFile.readText(file));
            List<String> lines = ProfileDiff.between(configStore().read().profiles(), desired);
            lines.forEach(out()::println);
            if (lines.isEmpty()) {
                out().println("no difference");
            }
        }
    }

    private static ProfilesDocument withContentOf(ProfilesDocument current, ProfilesDocument desired) {
        return new ProfilesDocument(current.revision(), current.changeIds(), desired.profiles(), desired.workspaces());
    }

    private static Profile findProfile(ProfilesDocument document, String name) throws CommandFailedException {
        List<String> names = document.profiles().stream()
                .map(profile -> profile.name().value())
                .toList();
        return document.profiles().stream()
                .filter(profile -> profile.name().value().equals(name))
                .findFirst()
                .orElseThrow(() -> new CommandFailedException(
                        ExitCode.INVALID,
                        "profile '" + name + "' does not exist" + NameSuggestion.didYouMean(name, names)));
    }

    private static ProfilesDocument withFields(ProfilesDocument document, Profile profile, List<String> assignments)
            throws TanagerhingeException {
        if (assignments.isEmpty()) {
            throw new CommandFailedException(ExitCode.USAGE, "expected FIELD=VALUE after the profile name");
        }
        try {
            ObjectNode root = (ObjectNode) MAPPER.readTree(ConfigJson.render(document));
            for (JsonNode node : root.path("profiles")) {
                if (node.path("name").asText().equals(profile.name().value())) {
                    for (String assignment : assignments) {
                        setField((ObjectNode) node, assignment);
                    }
                }
            }
            return ConfigJson.parseProfiles(root.toString());
        } catch (JsonProcessingException e) {
            throw new CommandFailedException(ExitCode.USAGE, "not a JSON value: " + e.getOriginalMessage());
        }
    }

    private static void setField(ObjectNode node, String assignment)
            throws CommandFailedException, JsonProcessingException {
        int equalsIndex = assignment.indexOf('=');
        if (equalsIndex <= 0) {
            throw new CommandFailedException(ExitCode.USAGE, "'" + assignment + "': expected FIELD=VALUE");
        }
        node.set(assignment.substring(0, equalsIndex), MAPPER.readTree(assignment.substring(equalsIndex + 1)));
    }

    private static void reportEdit(
            PlatformCommand command,
            ConfigStore store,
            ProfilesDocument before,
            ProfilesDocument desired,
            ConfigStore.Edit edit)
            throws TanagerhingeException {
        switch (edit) {
            case ConfigStore.Edit.Accepted accepted -> {
                ProfileDiff.between(before, desired).forEach(command.out()::println);
                command.out().println("accepted as revision " + accepted.revision());
            }
            case ConfigStore.Edit.Conflict conflict -> {
                ProfilesDocument newest = store.read().profiles();
                StringBuilder message = new StringBuilder(
                        "the profiles were edited concurrently and are now at revision " + newest.revision()
                                + "; nothing was changed. Differences from the stored profiles to yours:");
                ProfileDiff.between(newest, desired)
                        .forEach(line -> message.append("\n  ").append(line));
                throw new CommandFailedException(ExitCode.CONFLICT, message.toString());
            }
        }
    }
}
