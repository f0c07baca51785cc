package org.tanagerhinge.node.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** All invalid settings are reported together, each with its line, value, expected format and nearest name. */
class SettingsTest {
    private static final Setting<Integer> QUEUE_BOUND =
            Setting.integer("limits", "queue_bound", 1, 100, 10, "the bound");
    private static final Setting<Duration> IDLE = Setting.duration("links", "idle", "3s", "the limit");
    private static final Setting<String> URL = Setting.text("platform", "url", null, "the address");
    private static final List<Setting<?>> KNOWN = List.of(QUEUE_BOUND, IDLE, URL);

    @Test
    void readsValuesAndDefaults() throws Exception {
        Settings settings = Settings.parse(
                "a.ini", "[platform]\nurl = http://127.0.0.1:1\n[links]\nidle = 250ms\n", Map.of(), KNOWN);
        assertEquals(Duration.ofMillis(250), settings.value(IDLE));
        assertEquals(10, settings.value(QUEUE_BOUND));
    }

    private enum Part {
        LANES,
        RANK_GATE,
        RESUME
    }

    private static final Setting<Set<Part>> OFF = Setting.choices("experiment", "off", Part.class, "what is off");

    @ParameterizedTest
    @CsvSource(
            delimiter = ':',
            value = {"'':[]", "lanes:[LANES]", "'resume, rank_gate':'[RANK_GATE, RESUME]'"})
    void parsesChoicesSeparatedByCommas(String text, String chosen) throws Exception {
        Settings settings = Settings.parse("a.ini", "[experiment]\noff = " + text + "\n", Map.of(), List.of(OFF));
        assertEquals(chosen, settings.value(OFF).toString());
    }

    @Test
    void reportsUnknownChoice() {
        InvalidSettingsException exception = assertThrows(
                InvalidSettingsException.class,
                () -> Settings.parse("a.ini", "[experiment]\noff = lanes,wings\n", Map.of(), List.of(OFF)));
        assertEquals(
                List.of(
                        "line 2: experiment.off: 'lanes,wings': expected any of [lanes, rank_gate, resume], with commas between"),
                exception.problems());
    }

    @Test
    void overrideTakesPrecedenceOverFile() throws Exception {
        Settings settings = Settings.parse(
                "a.ini", "[platform]\nurl = http://127.0.0.1:1\n", Map.of("limits.queue_bound", "7"), KNOWN);
        assertEquals(7, settings.value(QUEUE_BOUND));
    }

    @Test
    void parsesCommentsQuotesAndWhitespace() throws Exception {
        String text = "# whole line\n; another\n\n[ platform ]\r\nurl=\"a # b\"  \n[links]\nidle = 250ms ; half\n";
        Settings settings = Settings.parse("a.ini", text, Map.of(), KNOWN);
        assertEquals("a # b", settings.value(URL));
        assertEquals(Duration.ofMillis(250), settings.value(IDLE));
        assertEquals(
                "x#y",
                Settings.parse("a.ini", "[platform]\nurl = x#y\n", Map.of(), KNOWN)
                        .value(URL));
    }

    @Test
    void reportsMalformedLine() {
        InvalidSettingsException exception = assertThrows(
                InvalidSettingsException.class, () -> Settings.parse("a.ini", "[platform]\nurl: x\n", Map.of(), KNOWN));
        assertEquals(List.of("line 2: 'url: x': expected [section], name = value or a comment"), exception.problems());
    }

    @Test
    void reportsAllProblemsTogether() {
        String text = "[limits]\nqueue_bound = 1000\n\n[links]\nidel = 3s\n";
        InvalidSettingsException exception =
                assertThrows(InvalidSettingsException.class, () -> Settings.parse("a.ini", text, Map.of(), KNOWN));
        assertEquals(
                List.of(
                        "line 5: links.idel: no such setting, did you mean 'links.idle'?",
                        "line 2: limits.queue_bound: '1000': expected a whole number from 1 to 100",
                        "platform.url is missing: expected a text (the address)"),
                exception.problems());
    }
}
