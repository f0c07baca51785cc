package org.tanagerhinge.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.core.text.NameSuggestion;
import org.tanagerhinge.node.platform.ConfigStore;

/** Commands that list backend servers and set their desired states. */
final class ServerCommands {
    private static final int MAX_EDIT_ATTEMPTS = 5;

    private ServerCommands() {}

    /** Prints all backend servers. */
    @Command(name = "list", description = "List the backend servers and their desired states")
    public static final class ListServers extends PlatformCommand {
        @Override
        void run() throws TanagerhingeException {
            ServersDocument document = configStore().read().servers();
            if (json()) {
                out().println(ConfigJson.render(document));
                return;
            }
            Table table = Table.of("SERVER", "MARK", "KIND", "SERVES", "DOMAIN", "AGENT");
            document.servers()
                    .forEach(server -> table.addRow(
                            server.id(),
                            server.desiredState().label(),
                            server.kind().label(),
                            server.targets().stream()
                                    .map(TargetName::value)
                                    .sorted()
                                    .collect(Collectors.joining(",")),
                            server.failureDomain(),
                            server.agentAddress()));
            out().print(table);
            out().println("revision " + document.revision());
        }
    }

    /** Adds a backend server, or sets the desired state of a listed one to serving. */
    @Command(name = "join", description = "Add a backend server, or set a listed one to serving again")
    public static final class JoinServer extends PlatformCommand {
        @Arguments(title = "ID", description = "Name of the backend server, as in its agent's settings")
        @Required
        private String id;

        @Option(
                name = {"--agent"},
                title = "IP:PORT",
                description = "Address of its agent; required for a new server")
        private String agentAddress;

        @Option(
                name = {"--domain"},
                title = "NAME",
                description = "Failure domain; required for a new server")
        private String failureDomain;

        @Option(
                name = {"--kind"},
                title = "model|service",
                description = "Kind of the server; model if not given")
        private String kind = "model";

        @Option(
                name = {"--serves"},
                title = "NAMES",
                description = "Comma-separated models, or the plain service, that it serves; required for a new server")
        private String servedTargets;

        @Override
        void run() throws TanagerhingeException {
            ServerId serverId = ServerId.of(id);
            boolean isNew = agentAddress != null || failureDomain != null || servedTargets != null;
            if (isNew && (agentAddress == null || failureDomain == null || servedTargets == null)) {
                throw new CommandFailedException(ExitCode.USAGE, "a new server needs --agent, --domain and --serves");
            }
            edit(
                    this,
                    serverId,
                    document -> isNew
                            ? document.withServer(newServer(serverId))
                            : document.withServer(
                                    requireListed(document, serverId).withDesiredState(DesiredServerState.SERVING)));
        }

        private BackendServer newServer(ServerId serverId) {
            Set<TargetName> targetNames =
                    Arrays.stream(servedTargets.split(",")).map(TargetName::of).collect(Collectors.toSet());
            return new BackendServer(
                    serverId,
                    agentAddress,
                    FailureDomain.of(failureDomain),
                    ServerKind.valueOf(kind.toUpperCase(Locale.ROOT)),
                    targetNames,
                    DesiredServerState.SERVING);
        }
    }

    /** Sets the desired state of a backend server to leaving. */
    @Command(
            name = "leave",
            description = "Set a backend server to leaving: it gets no new requests and finishes those in flight")
    public static final class LeaveServer extends PlatformCommand {
        @Arguments(title = "ID", description = "Name of the backend server")
        @Required
        private String id;

        @Override
        void run() throws TanagerhingeException {
            setDesiredState(this, id, DesiredServerState.LEAVING);
        }
    }

    /** Sets the desired state of a backend server to stopped. */
    @Command(name = "stop", description = "Set a backend server to stopped: routers do not use it")
    public static final class StopServer extends PlatformCommand {
        @Arguments(title = "ID", description = "Name of the backend server")
        @Required
        private String id;

        @Override
        void run() throws TanagerhingeException {
            setDesiredState(this, id, DesiredServerState.STOPPED);
        }
    }

    private static void setDesiredState(PlatformCommand command, String id, DesiredServerState desiredState)
            throws TanagerhingeException {
        ServerId serverId = ServerId.of(id);
        ServersDocument current = command.configStore().read().servers();
        if (current.server(serverId).isEmpty()) {
            throw new CommandFailedException(
                    ExitCode.INVALID,
                    "backend server '" + id + "' is not listed"
                            + NameSuggestion.didYouMean(
                                    id,
                                    current.servers().stream()
                                            .map(each -> each.id().value())
                                            .toList()));
        }
        edit(
                command,
                serverId,
                document ->
                        document.withServer(requireListed(document, serverId).withDesiredState(desiredState)));
    }

    private static BackendServer requireListed(ServersDocument document, ServerId id) {
        return document.server(id)
                .orElseThrow(() -> new IllegalArgumentException(
                        "backend server '" + id + "' is not listed: a new one needs --agent, --domain and --serves"));
    }

    /** Retries after a concurrent edit: the change affects one server only and can be applied to a newer revision. */
    private static void edit(PlatformCommand command, ServerId serverId, UnaryOperator<ServersDocument> change)
            throws TanagerhingeException {
        ConfigStore store = command.configStore();
        for (int attempt = 0; attempt < MAX_EDIT_ATTEMPTS; attempt++) {
            long baseRevision = store.read().servers().revision();
            if (tryEdit(store, baseRevision, change) instanceof ConfigStore.Edit.Accepted accepted) {
                command.out().println(serverId + ": accepted as revision " + accepted.revision());
                return;
            }
        }
        throw new CommandFailedException(
                ExitCode.CONFLICT, "the servers are being edited concurrently: nothing was changed, try again");
    }

    private static ConfigStore.Edit tryEdit(ConfigStore store, long baseRevision, UnaryOperator<ServersDocument> change)
            throws TanagerhingeException {
        try {
            return store.editServers(baseRevision, change);
        } catch (IllegalArgumentException e) {
            throw new CommandFailedException(ExitCode.INVALID, e.getMessage());
        }
    }
}
