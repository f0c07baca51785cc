package org.tanagerhinge.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.eclipse.jetty.client.HttpClient;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.node.daemon.HttpClients;
import org.tanagerhinge.node.platform.ConfigStore;
import org.tanagerhinge.node.platform.EtcdStore;
import org.tanagerhinge.node.platform.PlatformException;

/** Base class of all commands: common options, access to the platform's key-value service, and error output. */
abstract class PlatformCommand implements Callable<Integer> {
    private static final String PLATFORM_URL_VARIABLE = "TANAGERHINGE_PLATFORM";
    private static final Duration STORE_CALL_TIMEOUT = Duration.ofSeconds(3);

    @AirlineModule
    private HelpOption<PlatformCommand> help;

    @Option(
            name = {"--platform"},
            title = "URL",
            description = "Base URL of the platform's key-value service; default is the value of TANAGERHINGE_PLATFORM")
    private String platformUrl;

    @Option(
            name = {"--json"},
            description = "Print JSON for scripts instead of a table")
    private boolean json;

    private HttpClient sharedHttpClient;

    /** Executes the command. */
    abstract void run() throws TanagerhingeException;

    boolean json() {
        return json;
    }

    PrintStream out() {
        return System.out;
    }

    ConfigStore configStore() throws CommandFailedException {
        String url = platformUrl != null ? platformUrl : System.getenv(PLATFORM_URL_VARIABLE);
        if (url == null) {
            throw new CommandFailedException(
                    ExitCode.USAGE,
                    "no URL of the platform's key-value service: pass --platform URL or set " + PLATFORM_URL_VARIABLE);
        }
        return ConfigStore.in(EtcdStore.at(httpClient(), url, STORE_CALL_TIMEOUT));
    }

    HttpClient httpClient() {
        if (sharedHttpClient == null) {
            sharedHttpClient = HttpClients.started("cli");
        }
        return sharedHttpClient;
    }

    @Override
    public final Integer call() {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK.number();
        }
        try {
            run();
            return ExitCode.OK.number();
        } catch (CommandFailedException e) {
            return fail(e, e.exitCode());
        } catch (InvalidConfigException e) {
            return fail(e, ExitCode.INVALID);
        } catch (PlatformException e) {
            return fail(e, ExitCode.PLATFORM);
        } catch (TanagerhingeException e) {
            return fail(e, ExitCode.INVALID);
        }
    }

    private static int fail(TanagerhingeException failure, ExitCode exitCode) {
        PrintStream err = System.err;
        err.println("tanagerhinge: " + failure.getMessage());
        return exitCode.number();
    }
}
