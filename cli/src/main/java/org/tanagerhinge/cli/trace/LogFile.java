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
 * The parsed JSON records of one log file, in file order.
 *
 * <p>Text before the first brace of a line, such as the host and time added by log collectors, is ignored. Lines
 * without a JSON object that has an event are skipped.
 */
public final class LogFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<LogRecord> records;

    private LogFile(List<LogRecord> records) {
        this.records = List.copyOf(records);
    }

    /** Reads a log file; malformed UTF-8, such as in a line truncated by a crash, becomes replacement characters. */
    public static LogFile read(Path file) throws IOException {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(
                Files.newInputStream(file),
                StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPLACE)))) {
            return of(reader.lines().toList());
        }
    }

    /** Returns the log made of the given lines. */
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
                // The line was truncated by the end of its process, or written by another program.
                continue;
            }
        }
        return new LogFile(records);
    }

    /** Returns the records that could be parsed. */
    public List<LogRecord> records() {
        return records;
    }
}
