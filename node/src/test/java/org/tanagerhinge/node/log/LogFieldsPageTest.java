package org.tanagerhinge.node.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Guards against log events and fields that the operations page does not describe. */
class LogFieldsPageTest {
    @Test
    void operationsPageListsEachEventAndField() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
        for (LogEvent event : LogEvent.values()) {
            assertTrue(page.contains("`" + event.label() + "`"), "event " + event.label());
        }
        for (LogField field : LogField.values()) {
            assertTrue(page.contains("`" + field.label() + "`"), "field " + field.label());
        }
    }
}
