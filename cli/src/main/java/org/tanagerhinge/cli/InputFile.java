package org.tanagerhinge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tanagerhinge.cli.trace.LogFile;

/** Reads the files named on the command line. */
final class InputFile {
    private InputFile() {}

    static LogFile readLog(String name) throws CommandFailedException {
        try {
            return LogFile.read(Path.of(name));
        } catch (IOException e) {
            throw new CommandFailedException(ExitCode.INVALID, "log '" + name + "' cannot be read: " + e.getMessage());
        }
    }

    static String readText(String file) throws CommandFailedException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CommandFailedException(ExitCode.INVALID, file + ": cannot be read: " + e.getMessage());
        }
    }
}
