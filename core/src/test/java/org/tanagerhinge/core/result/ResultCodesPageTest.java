package org.tanagerhinge.core.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks that the table of result codes in the documentation equals the enum. */
class ResultCodesPageTest {
    @Test
    void documentedTableEqualsResultCodes() throws Exception {
        String expected = Arrays.stream(ResultCode.values())
                .map(code -> "| " + code.number() + " | `" + code.label() + "` | " + code.httpStatus() + " | "
                        + (code.retryable() ? "yes" : "no") + " | " + code.meaning() + " |")
                .collect(Collectors.joining("\n"));
        String page = Files.readString(Path.of("..", "docs", "RESULT-CODES.md"));
        String table =
                page.lines().filter(line -> line.matches("\\| [0-9]+ \\|.*")).collect(Collectors.joining("\n"));
        assertEquals(expected, table);
    }
}
