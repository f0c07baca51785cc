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

/** Draws what logs tell of a fleet into one page. */
@Command(name = "report", description = "Draw what log files tell of a fleet into one page of HTML")
public final class ReportCommand extends PlatformCommand {
    @Arguments(title = "FILE", description = "Logs of the processes that are to be shown")
    private List<String> logPaths = new ArrayList<>();

    @Option(
            name = {"--output"},
            title = "FILE",
            description = "Where the page is written; report.html if not given")
    private String outputPath = "report.html";

    @Option(
            name = {"--title"},
            description = "Title of the page; the names of the logs if not given")
    private String title = "";

    @Override
    void run() throws TanagerhingeException {
        if (logPaths.isEmpty()) {
            throw new CommandFailedException(ExitCode.USAGE, "report: expected one log file or more");
        }
        List<LogFile> logs = new ArrayList<>();
        for (String logPath : logPaths) {
            logs.add(InputFile.readLog(logPath));
        }
        String page = ReportPage.of(title.isEmpty() ? String.join(", ", logPaths) : title, logs)
                .orElseThrow(() -> new CommandFailedException(
                        ExitCode.INVALID, "no line tells of an event in " + String.join(", ", logPaths)));
        try {
            Files.writeString(Path.of(outputPath), page);
        } catch (IOException e) {
            throw new CommandFailedException(
                    ExitCode.INVALID, "report '" + outputPath + "' cannot be written: " + e.getMessage());
        }
        out().println("wrote " + outputPath);
    }
}
