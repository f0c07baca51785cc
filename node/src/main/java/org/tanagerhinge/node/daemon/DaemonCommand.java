package org.tanagerhinge.node.daemon;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;
import org.tanagerhinge.node.log.LogLine;
import org.tanagerhinge.node.log.LogSetup;
import org.tanagerhinge.node.log.RequestLines;
import org.tanagerhinge.node.settings.Setting;
import org.tanagerhinge.node.settings.Settings;

/** Command line of a daemon: reads and checks the settings, and runs the daemon until a stop signal. */
public abstract class DaemonCommand implements Callable<Integer> {
    /** Exit code for invalid settings. */
    public static final int EXIT_BAD_SETTINGS = 2;
    /** Exit code for a daemon that could not start. */
    public static final int EXIT_CANNOT_START = 3;

    /** Selects which lines about single requests are logged. */
    public static final Setting<RequestLines> REQUEST_LINES = Setting.choice(
            "log",
            "requests",
            RequestLines.class,
            RequestLines.ALL,
            "which lines about single requests are logged: all, failed ones only, or none");

    /** Interval at which the settings file is checked for changes, which may come without a signal. */
    private static final Duration SETTINGS_POLL = Duration.ofSeconds(1);

    static {
        LogSetup.toStandardOutput();
    }

    private static final Logger LOG = System.getLogger(DaemonCommand.class.getName());

    private final StopSignals signals = StopSignals.install();

    @AirlineModule
    private HelpOption<DaemonCommand> help;

    @Option(
            name = {"-c", "--config"},
            title = "FILE",
            description = "INI file with the settings")
    @Required
    private String config;

    @Option(
            name = {"--set"},
            title = "SECTION.NAME=VALUE",
            description = "Overrides a setting of the file; may be repeated")
    private List<String> overrides = new ArrayList<>();

    @Option(
            name = {"--check"},
            description = "Check the settings and exit")
    private boolean checkOnly;

    /** Returns the settings that the daemon declares. */
    protected abstract List<Setting<?>> settings();

    /** Starts the daemon. */
    protected abstract Daemon start(Settings settings) throws TanagerhingeException;

    /** Passes reloaded settings to a running daemon, which applies those that can change while it runs. */
    protected void reloaded(Daemon daemon, Settings settings) {}

    @Override
    public final Integer call() {
        if (help != null && help.showHelpIfRequested()) {
            return 0;
        }
        return run(Path.of(config));
    }

    /**
     * Runs with a settings file, without parsing a command line, which saves 50 ms of processor time at a restart.
     *
     * @return exit code
     */
    public final int run(Path file) {
        if (!signals.holdExit()) {
            return 0;
        }
        try {
            return runHoldingExit(file);
        } finally {
            signals.releaseExit();
        }
    }

    private int runHoldingExit(Path file) {
        // The text is read before the settings, so that a change during the start is detected.
        int handledSignals = signals.reloadRequests();
        String activeText = readOrEmpty(file);
        Settings settings;
        try {
            settings = Settings.load(file, parsedOverrides(), settings());
        } catch (TanagerhingeException e) {
            return reportFailure(e, EXIT_BAD_SETTINGS);
        }
        if (checkOnly) {
            System.out.println(file + ": ok");
            return 0;
        }
        configureRequestLines(settings);
        Daemon daemon;
        try {
            daemon = start(settings);
        } catch (TanagerhingeException e) {
            return reportFailure(e, EXIT_CANNOT_START);
        } catch (RuntimeException | Error e) {
            // Threads that were started would keep the process running.
            LOG.log(Level.ERROR, "cannot start", e);
            return EXIT_CANNOT_START;
        }
        runUntilStopped(daemon, file, activeText, handledSignals);
        return 0;
    }

    private void configureRequestLines(Settings settings) {
        if (settings().contains(REQUEST_LINES)) {
            LogSetup.setRequestLines(settings.value(REQUEST_LINES));
        }
    }

    private static int reportFailure(TanagerhingeException failure, int exitCode) {
        PrintStream err = System.err;
        err.println(failure.getMessage());
        return exitCode;
    }

    private Map<String, String> parsedOverrides() {
        Map<String, String> parsed = new LinkedHashMap<>();
        for (String override : overrides) {
            int equals = override.indexOf('=');
            if (equals < 0) {
                parsed.put(override, "");
            } else {
                parsed.put(
                        override.substring(0, equals).trim(),
                        override.substring(equals + 1).trim());
            }
        }
        return parsed;
    }

    /** Runs until SIGTERM or SIGINT, then until no request is in flight or the stop timeout passes. */
    private void runUntilStopped(Daemon daemon, Path file, String initialText, int handledAtStart) {
        try {
            String activeText = initialText;
            int handledSignals = handledAtStart;
            while (!signals.awaitStop(SETTINGS_POLL.toMillis())) {
                String currentText = readOrEmpty(file);
                int reloadRequests = signals.reloadRequests();
                if (!currentText.isEmpty() && (reloadRequests != handledSignals || !currentText.equals(activeText))) {
                    handledSignals = reloadRequests;
                    activeText = currentText;
                    reload(daemon, file);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            stop(daemon);
        }
    }

    private static String readOrEmpty(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }

    private void reload(Daemon daemon, Path file) {
        try {
            Settings changed = Settings.load(file, parsedOverrides(), settings());
            configureRequestLines(changed);
            reloaded(daemon, changed);
            LogLine.of(LogEvent.SETTINGS_READ).write();
        } catch (TanagerhingeException | RuntimeException e) {
            LogLine.failure(LogEvent.SETTINGS_REFUSED)
                    .with(LogField.WHY, e.getMessage())
                    .write();
        }
    }

    private void stop(Daemon daemon) {
        long startedNanos = signals.stopRequestedNanos();
        LogLine.of(LogEvent.STOPPING)
                .with(LogField.WHY, signals.stopSignal())
                .with(LogField.MS, (System.nanoTime() - startedNanos) / 1_000_000)
                .write();
        boolean drained = GracefulStop.run(daemon, startedNanos);
        LogLine.of(LogEvent.STOPPED, !drained)
                .with(LogField.MS, (System.nanoTime() - startedNanos) / 1_000_000)
                .with(LogField.END, drained ? "drained" : "with work in progress")
                .write();
        LogSetup.flush();
    }
}
