package org.tanagerhinge.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.node.platform.ConfigStore;

/** Commands that read and edit workspaces. */
final class WorkspaceCommands {
    private static final int KEY_BYTES = 24;

    private WorkspaceCommands() {}

    /** Prints all workspaces with the number of their keys; the keys are stored as digests only and cannot be shown. */
    @Command(name = "list", description = "List the workspaces")
    public static final class ListWorkspaces extends PlatformCommand {
        @Override
        void run() throws TanagerhingeException {
            ProfilesDocument document = configStore().read().profiles();
            Table table = Table.of("WORKSPACE", "WEIGHT", "KEYS");
            document.workspaces()
                    .forEach(workspace -> table.addRow(
                            workspace.id(),
                            workspace.weight(),
                            workspace.keySha256().size()));
            out().print(table);
        }
    }

    /** Generates a key for a new or existing workspace and prints it; only its digest is stored. */
    @Command(
            name = "add",
            description = "Add a workspace, or another key to an existing one; prints the new key, which is not stored")
    public static final class AddWorkspace extends PlatformCommand {
        @Arguments(title = "NAME", description = "Name of the workspace")
        @Required
        private String name;

        @Option(
                name = {"--weight"},
                description = "Weight relative to other workspaces of the same class; 1 if not given")
        private double weight = 1;

        @Override
        void run() throws TanagerhingeException {
            WorkspaceId id = WorkspaceId.of(name);
            byte[] keyBytes = new byte[KEY_BYTES];
            new SecureRandom().nextBytes(keyBytes);
            String key = "sk-" + HexFormat.of().formatHex(keyBytes);
            ConfigStore store = configStore();
            long baseRevision = store.read().profiles().revision();
            ConfigStore.Edit edit =
                    store.editProfiles(baseRevision, current -> withKey(current, id, KeyDigest.sha256Hex(key), weight));
            if (edit instanceof ConfigStore.Edit.Accepted accepted) {
                out().println(key);
                System.err.println("accepted as revision " + accepted.revision());
            } else {
                throw new CommandFailedException(
                        ExitCode.CONFLICT, "the workspaces were edited concurrently; nothing was changed");
            }
        }
    }

    private static ProfilesDocument withKey(
            ProfilesDocument document, WorkspaceId id, String keyDigest, double weight) {
        List<Workspace> workspaces = new ArrayList<>(document.workspaces());
        List<String> keys = new ArrayList<>();
        document.workspace(id).ifPresent(existing -> keys.addAll(existing.keySha256()));
        workspaces.removeIf(workspace -> workspace.id().equals(id));
        keys.add(keyDigest);
        workspaces.add(new Workspace(id, keys, weight));
        return new ProfilesDocument(document.revision(), document.changeIds(), document.profiles(), workspaces);
    }
}
