package org.tanagerhinge.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import org.tanagerhinge.cli.trace.LogFile;
import org.tanagerhinge.cli.trace.LogRecord;
import org.tanagerhinge.cli.trace.Trace;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Gathers what logs tell of one request. */
@Command(name = "trace", description = "Gather one request's log lines from files, in order, and say how it ended")
public final class TraceCommand extends PlatformCommand {
    private static final int LEAST_ARGUMENTS = 2;

    @Arguments(
            title = "ID FILE...",
            description = "The request's id, and the logs of all processes that may know of it")
    private List<String> arguments = new ArrayList<>();

    @Option(
            name = {"--alone"},
            description = "Leave out what the same processes came to believe of the servers while the request ran")
    private boolean alone;

    @Override
    void run() throws TanagerhingeException {
        if (arguments.size() < LEAST_ARGUMENTS) {
            throw new CommandFailedException(ExitCode.USAGE, "trace: expected a request's id and one log file or more");
        }
        String id = arguments.get(0);
        List<LogFile> files = new ArrayList<>();
        for (String name : arguments.subList(1, arguments.size())) {
            files.add(InputFile.log(name));
        }
        Trace trace = Trace.of(id, files);
        if (trace.isEmpty()) {
            throw new CommandFailedException(
                    ExitCode.INVALID,
                    "no line tells of request '" + id + "' in " + files.size() + " file(s) with " + trace.linesRead()
                            + " lines" + trace.dropped());
        }
        List<LogRecord> lines = alone ? trace.ofRequest() : trace.withBeliefs();
        long from = lines.get(0).at();
        lines.forEach(line -> out().println(json() ? line.text() : line.shown(from)));
        if (!json()) {
            out().println(trace.sentence());
        }
    }
}
