package org.tanagerhinge.bench.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tanagerhinge.platform.GatewayMain;
import org.tanagerhinge.platform.PlatformNames;

/**
 * A gateway in a process of its own, with the options of {@code deploy/system.toml}.
 *
 * <p>It runs the classes of the test, or, with {@code -Dgateway.deployed=true}, the command of the deploy file as it is.
 */
final class GatewayProcess {
    /** Signals that a platform sends to a process, and those that suspend it. */
    enum Signal {
        TERM,
        HUP,
        STOP,
        CONT
    }

    private static final boolean DEPLOYED = Boolean.getBoolean("gateway.deployed");
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    private final Process process;
    private final Path log;
    private final long startedNanos = System.nanoTime();

    private GatewayProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Starts a gateway with a settings file; its output is appended to a file. */
    static GatewayProcess start(Path settings, Path log) throws IOException {
        return start(settings, log, command(repository()));
    }

    /** Starts a gateway that may have a number of open descriptors. */
    static GatewayProcess start(Path settings, Path log, int maxDescriptors) throws IOException {
        List<String> limited =
                new ArrayList<>(List.of("bash", "-c", "ulimit -n " + maxDescriptors + " && exec \"$@\"", "gateway"));
        limited.addAll(command(repository()));
        return start(settings, log, limited);
    }

    private static GatewayProcess start(Path settings, Path log, List<String> command) throws IOException {
        Path root = repository();
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put(PlatformNames.SETTINGS_VARIABLE, settings.toString());
        return new GatewayProcess(builder.start(), log);
    }

    private static Path repository() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve("deploy/system.toml"))) {
            folder = folder.getParent();
        }
        return folder;
    }

    private static List<String> command(Path root) throws IOException {
        String run = Files.readString(root.resolve("deploy/system.toml"))
                .lines()
                .filter(line -> line.startsWith("run = \""))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        List<String> words = List.of(run.split(" "));
        if (DEPLOYED) {
            return words;
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.subList(1, words.indexOf("-cp")).stream()
                .filter(option -> !option.startsWith(ARCHIVE_OPTION))
                .forEach(command::add);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), GatewayMain.class.getName()));
        return command;
    }

    /** Sends a signal; does nothing if the process has ended. */
    void signal(Signal signal) {
        if (signal == Signal.TERM) {
            // Sent by this process itself, so that the grace time doesn't begin before the signal.
            process.toHandle().destroy();
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    ProcessUsage usage(int port) {
        return ProcessUsage.of(process.pid(), port);
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Returns the steady time at which the process was started, in nanoseconds. */
    long startedNanos() {
        return startedNanos;
    }

    /** Waits until the process has ended; returns whether it did in time. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the exit code of the ended process. */
    int exitCode() {
        return process.exitValue();
    }

    /** Returns what the process has written. */
    String output() throws IOException {
        return Files.readString(log);
    }

    void kill() {
        process.destroyForcibly();
    }
}
