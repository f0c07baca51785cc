package org.tanagerhinge.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Entry point of the operators' command-line client. */
public final class Main {
    private Main() {}

    /** Runs one command and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs one command and returns its exit code. */
    public static int run(String... args) {
        Object command;
        try {
            command = cli().parse(args);
        } catch (ParseException e) {
            System.err.println("tanagerhinge: " + e.getMessage() + " (see tanagerhinge help)");
            return ExitCode.USAGE.number();
        }
        if (command instanceof PlatformCommand platformCommand) {
            return runCommand(platformCommand);
        }
        ((Help<?>) command).run();
        return ExitCode.OK.number();
    }

    private static int runCommand(PlatformCommand command) {
        try {
            return command.call();
        } catch (IllegalArgumentException e) {
            System.err.println("tanagerhinge: " + e.getMessage());
            return ExitCode.INVALID.number();
        }
    }

    private static Cli<Object> cli() {
        CliBuilder<Object> builder = Cli.<Object>builder("tanagerhinge")
                .withDescription(
                        "Edits profiles, sets the desired state of backend servers and shows the state of the system")
                .withDefaultCommand(Help.class)
                .withCommands(
                        Help.class, StatusCommand.class, ExplainCommand.class, TraceCommand.class, ReportCommand.class);
        builder.withGroup("profile")
                .withDescription("Profiles: latency targets, tier and idempotence")
                .withDefaultCommand(ProfileCommands.ListProfiles.class)
                .withCommands(
                        ProfileCommands.ListProfiles.class,
                        ProfileCommands.ShowProfile.class,
                        ProfileCommands.ApplyProfiles.class,
                        ProfileCommands.SetProfile.class,
                        ProfileCommands.DiffProfiles.class);
        builder.withGroup("workspace")
                .withDescription("Workspaces and their API keys")
                .withDefaultCommand(WorkspaceCommands.ListWorkspaces.class)
                .withCommands(WorkspaceCommands.ListWorkspaces.class, WorkspaceCommands.AddWorkspace.class);
        builder.withGroup("server")
                .withDescription("Backend servers and their desired states")
                .withDefaultCommand(ServerCommands.ListServers.class)
                .withCommands(
                        ServerCommands.ListServers.class,
                        ServerCommands.JoinServer.class,
                        ServerCommands.LeaveServer.class,
                        ServerCommands.StopServer.class);
        builder.withGroup("config")
                .withDescription("Settings files and configuration documents")
                .withDefaultCommand(CheckCommand.class)
                .withCommands(CheckCommand.class);
        return builder.build();
    }
}
