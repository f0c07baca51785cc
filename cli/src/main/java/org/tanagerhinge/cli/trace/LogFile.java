package org.tanagerhinge.cli.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The lines of one file, in their order. What stands before a line's first brace is left out, since collectors put the
 * host and the time there; lines without an object are passed over.
 */
public final class LogFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<LogRecord> records;

    private LogFile(List<LogRecord> records) {
        this.records = List.copyOf(records);
    }

    /** Reads a file; bytes that are no text are shown as a mark, since a process may have ended within a line. */
    public static LogFile read(Path file) throws IOException {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(
                Files.newInputStream(file),
                StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPLACE)))) {
            return of(reader.lines().toList());
        }
    }

    /** Returns the log that lines make. */
    public static LogFile of(List<String> lines) {
        List<LogRecord> records = new ArrayList<>();
        for (String line : lines) {
            int brace = line.indexOf('{');
            if (brace < 0) {
                continue;
            }
            String text = line.substring(brace);
            try {
                JsonNode fields = JSON.readTree(text);
                if (fields.has("event")) {
                    records.add(new LogRecord(text, fields));
                }
            } catch (JsonProcessingException e) {
                // A line that was cut short by the end of its process, or that another program wrote.
                continue;
            }
        }
        return new LogFile(records);
    }

    /** Returns the lines that could be read. */
    public List<LogRecord> records() {
        return records;
    }
}
