package org.tanagerhinge.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tanagerhinge.cli.report.ReportPage;
import org.tanagerhinge.cli.trace.LogFile;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Writes an HTML report with plots and events from the logs of a fleet. */
@Command(name = "report", description = "Write an HTML report with plots and events from the log files of a fleet")
public final class ReportCommand extends PlatformCommand {
    @Arguments(title = "FILE", description = "Log files of the processes to include")
    private List<String> logPaths = new ArrayList<>();

    @Option(
            name = {"--output"},
            title = "FILE",
            description = "File to which the page is written; report.html if not given")
    private String outputPath = "report.html";

    @Option(
            name = {"--title"},
            description = "Title of the page; the names of the log files if not given")
    private String title = "";

    @Override
    void run() throws TanagerhingeException {
        if (logPaths.isEmpty()) {
            throw new CommandFailedException(ExitCode.USAGE, "report: expected at least one log file");
        }
        List<LogFile> logs = new ArrayList<>();
        for (String logPath : logPaths) {
            logs.add(InputFile.readLog(logPath));
        }
        String page = ReportPage.of(title.isEmpty() ? String.join(", ", logPaths) : title, logs)
                .orElseThrow(() -> new CommandFailedException(
                        ExitCode.INVALID, "no log line with an event found in " + String.join(", ", logPaths)));
        try {
            Files.writeString(Path.of(outputPath), page);
        } catch (IOException e) {
            throw new CommandFailedException(
                    ExitCode.INVALID, "report '" + outputPath + "' cannot be written: " + e.getMessage());
        }
        out().println("wrote " + outputPath);
    }
}
