package org.tanagerhinge.router;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.List;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.node.daemon.Daemon;
import org.tanagerhinge.node.daemon.DaemonCommand;
import org.tanagerhinge.node.settings.Setting;
import org.tanagerhinge.node.settings.Settings;

/** Command line of the router: runs the daemon until the process receives a stop signal. */
@Command(name = "tanagerhinge-router", description = "Accepts callers' requests and dispatches them to agents")
public final class RouterMain extends DaemonCommand {
    /** Parses the command line and runs the router. */
    public static void main(String[] args) {
        try {
            SingleCommand<RouterMain> parser = SingleCommand.singleCommand(RouterMain.class);
            System.exit(parser.parse(args).call());
        } catch (ParseException e) {
            System.err.println(e.getMessage() + " (see --help)");
            System.exit(EXIT_BAD_SETTINGS);
        }
    }

    @Override
    protected List<Setting<?>> settings() {
        return RouterSettings.all();
    }

    @Override
    protected Daemon start(Settings settings) throws TanagerhingeException {
        RouterComponent component = DaggerRouterComponent.builder()
                .routerModule(new RouterModule(settings))
                .build();
        return RouterDaemon.start(component.parts());
    }
}
