package org.tanagerhinge.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.Optional;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Prints the meaning of a result code, or a table of all result codes. */
@Command(name = "explain", description = "Explain a result code, or list them all")
public final class ExplainCommand extends PlatformCommand {
    @Arguments(title = "CODE", description = "Number of the result code; all codes if not given")
    private Integer number;

    @Override
    void run() throws TanagerhingeException {
        if (number == null) {
            Table table = Table.of("CODE", "NAME", "HTTP", "RETRY", "MEANING");
            for (ResultCode code : ResultCode.values()) {
                table.addRow(
                        code.number(),
                        code.label(),
                        code.httpStatus(),
                        code.retryable() ? "yes" : "no",
                        code.meaning());
            }
            out().print(table);
            return;
        }
        Optional<ResultCode> code = ResultCode.ofNumber(number);
        if (code.isEmpty()) {
            throw new CommandFailedException(
                    ExitCode.INVALID,
                    "result code " + number + " does not exist; 'explain' without a number lists all");
        }
        out().println(number + " " + code.get().label() + " (HTTP " + code.get().httpStatus() + "): "
                + code.get().meaning());
        out().println(code.get().retryable() ? "A retry after Retry-After may succeed." : "A retry does not help.");
    }
}
