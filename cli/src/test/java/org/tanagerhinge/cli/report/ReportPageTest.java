package org.tanagerhinge.cli.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.cli.trace.LogFile;

/** Tests the aggregation of log lines and the HTML page. */
class ReportPageTest {
    private static final long START = 1_768_615_200_000L;

    private static String line(long afterMillis, String node, String rest) {
        return "  12.3 " + node + " {\"at\":" + (START + afterMillis) + ",\"up\":" + afterMillis + ",\"node\":\"" + node
                + "\",\"level\":\"INFO\"," + rest + "}";
    }

    private static final List<String> LINES = List.of(
            line(0, "h1", "\"event\":\"started\",\"why\":\"listening on /10.0.0.1:80\""),
            line(100, "h2", "\"event\":\"started\",\"why\":\"listening on /10.0.0.2:80\""),
            line(200, "h1", "\"event\":\"routed\",\"id\":\"a\",\"servers_age_ms\":120"),
            line(
                    210,
                    "h1",
                    "\"event\":\"sent\",\"id\":\"a\",\"server\":\"s-1\",\"running\":3,\"reading\":9000,\"fetch\":500"),
            line(1_300, "h1", "\"event\":\"ended\",\"id\":\"a\",\"status\":200,\"late\":false,\"first_ms\":250"),
            line(1_400, "h2", "\"event\":\"ended\",\"id\":\"b\",\"status\":200,\"late\":true,\"first_ms\":900"),
            line(
                    2_100,
                    "h2",
                    "\"event\":\"refused\",\"id\":\"c\",\"code\":2001,\"why\":\"reading takes 1234 ms there\""),
            line(2_200, "h2", "\"event\":\"refused\",\"id\":\"d\",\"code\":2001,\"why\":\"reading takes 99 ms there\""),
            line(2_300, "h1", "\"event\":\"cut\",\"id\":\"e\""),
            line(3_000, "h1", "\"event\":\"server_gone\",\"server\":\"s-1 <&>\""),
            line(3_001, "h2", "\"event\":\"server_gone\",\"server\":\"s-1 <&>\""));

    private static ReportData data(List<String> lines) {
        return ReportData.of(List.of(LogFile.of(lines))).orElseThrow();
    }

    @Test
    void countsLinesInTheSecondTheyWereWritten() {
        ReportData data = data(LINES);
        assertEquals(1, data.outcomes().get(ReportData.Outcome.ON_TIME).valueAt(1));
        assertEquals(1, data.outcomes().get(ReportData.Outcome.LATE).valueAt(1));
        assertEquals(2, data.outcomes().get(ReportData.Outcome.REFUSED).valueAt(2));
        assertEquals(1, data.outcomes().get(ReportData.Outcome.BROKEN).valueAt(2));
        assertEquals(9_000, data.tokensToPrefillByServer().get("s-1").valueAt(0));
        assertEquals(500, data.fetchedTokens().valueAt(0));
        assertEquals(120, data.serverListAgeByNode().get("h1").valueAt(0));
    }

    @Test
    void groupsRefusalsWhoseReasonsDifferOnlyInNumbers() {
        assertEquals(1, data(LINES).refusals().size());
        assertEquals(2, data(LINES).refusals().values().iterator().next());
    }

    @Test
    void mergesAnEventOnSeveralHostsInOneSecondIntoOneRow() {
        List<ReportData.FleetEvent> rows = data(LINES).fleetEvents();
        assertEquals(
                List.of(
                        new ReportData.FleetEvent(0, "started", 2),
                        new ReportData.FleetEvent(3, "server_gone s-1 <&>", 2)),
                rows);
    }

    /** Guards against a host whose clock is a year off compressing all other lines into one point of each plot. */
    @Test
    void excludesAndCountsLinesOfAHostWhoseClockIsFarOff() {
        List<String> lines = new ArrayList<>(LINES);
        lines.add(line(-31_536_000_000L, "h3", "\"event\":\"started\""));
        lines.add(line(31_536_000_000L, "h3", "\"event\":\"stopped\""));
        ReportData data = data(lines);
        assertEquals(2, data.excludedLineCount());
        assertEquals(1, data.outcomes().get(ReportData.Outcome.ON_TIME).valueAt(1));
    }

    @Test
    void pageIsSelfContainedAndEscapesHtmlInNames() {
        String page = ReportPage.of("a <title>", List.of(LogFile.of(LINES))).orElseThrow();
        assertTrue(page.contains("<svg"), "plot is missing");
        assertTrue(page.contains("server_gone s-1 &lt;&amp;&gt;"), "row of the event is missing");
        assertTrue(page.contains("a &lt;title&gt;"), "title is missing");
        assertFalse(page.contains("<script") || page.contains("src="), "page loads external resources");
    }

    @Test
    void returnsNoPageForLogsWithoutAnEvent() {
        assertEquals(Optional.empty(), ReportPage.of("t", List.of(LogFile.of(List.of("hello", "{\"a\":1}")))));
    }
}
