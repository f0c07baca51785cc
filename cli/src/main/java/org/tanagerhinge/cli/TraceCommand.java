package org.tanagerhinge.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import org.tanagerhinge.cli.trace.LogFile;
import org.tanagerhinge.cli.trace.LogRecord;
import org.tanagerhinge.cli.trace.RequestTrace;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Prints the log lines of one request from all processes, in order, with a summary of its outcome. */
@Command(name = "trace", description = "Print the log lines of one request from all files, in order, and how it ended")
public final class TraceCommand extends PlatformCommand {
    private static final int MIN_ARGUMENTS = 2;

    @Arguments(
            title = "ID FILE...",
            description = "Id of the request, and the log files of all processes that may have handled it")
    private List<String> arguments = new ArrayList<>();

    @Option(
            name = {"--alone"},
            description = "Print the lines of the request only, without server, peer and store events around it")
    private boolean requestLinesOnly;

    @Override
    void run() throws TanagerhingeException {
        if (arguments.size() < MIN_ARGUMENTS) {
            throw new CommandFailedException(ExitCode.USAGE, "trace: expected a request id and at least one log file");
        }
        String requestId = arguments.get(0);
        List<LogFile> logs = new ArrayList<>();
        for (String logPath : arguments.subList(1, arguments.size())) {
            logs.add(InputFile.readLog(logPath));
        }
        RequestTrace trace = RequestTrace.of(requestId, logs);
        if (trace.isEmpty()) {
            throw new CommandFailedException(
                    ExitCode.INVALID,
                    "no log line of request '" + requestId + "' in " + logs.size() + " file(s) with "
                            + trace.lineCount() + " lines" + trace.dropped());
        }
        List<LogRecord> lines = requestLinesOnly ? trace.requestLines() : trace.linesWithContext();
        long startMillis = lines.get(0).wallClockMillis();
        lines.forEach(line -> out().println(json() ? line.text() : line.format(startMillis)));
        if (!json()) {
            out().println(trace.summary());
        }
    }
}
