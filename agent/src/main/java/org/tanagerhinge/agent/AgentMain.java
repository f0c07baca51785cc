package org.tanagerhinge.agent;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.List;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.node.daemon.Daemon;
import org.tanagerhinge.node.daemon.DaemonCommand;
import org.tanagerhinge.node.settings.Setting;
import org.tanagerhinge.node.settings.Settings;

/** Command line of the agent: runs the daemon until the process receives a stop signal. */
@Command(name = "tanagerhinge-agent", description = "Runs the agent of one backend server")
public final class AgentMain extends DaemonCommand {
    /** Parses the command line and runs the agent. */
    public static void main(String[] args) {
        try {
            SingleCommand<AgentMain> parser = SingleCommand.singleCommand(AgentMain.class);
            System.exit(parser.parse(args).call());
        } catch (ParseException e) {
            System.err.println(e.getMessage() + " (see --help)");
            System.exit(EXIT_BAD_SETTINGS);
        }
    }

    @Override
    protected List<Setting<?>> settings() {
        return AgentSettings.all();
    }

    @Override
    protected Daemon start(Settings settings) throws TanagerhingeException {
        AgentComponent component = DaggerAgentComponent.builder()
                .agentModule(new AgentModule(settings))
                .build();
        return AgentDaemon.start(component.parts());
    }
}
