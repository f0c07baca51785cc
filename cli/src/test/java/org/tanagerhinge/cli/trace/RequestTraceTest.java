package org.tanagerhinge.cli.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the selection, order and summary of a request's log lines. */
class RequestTraceTest {
    private static String line(long at, long up, String node, String rest) {
        return "{\"at\":" + at + ",\"up\":" + up + ",\"node\":\"" + node + "\",\"level\":\"INFO\"," + rest + "}";
    }

    private static final String ROUTED =
            line(1_000, 500, "h1", "\"event\":\"routed\",\"id\":\"a\",\"route\":\"r1\",\"workspace\":\"coop\"");

    private static RequestTrace trace(String... lines) {
        return RequestTrace.of("a", List.of(LogFile.of(List.of(lines))));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"event\":\"ended\",\"status\":200,\"ms\":90,\"late\":false"
                        + "|got a complete response with status 200 after 90 ms",
                "\"event\":\"ended\",\"status\":200,\"ms\":900,\"late\":true,\"first_ms\":700,\"pause_ms\":40"
                        + "|after 900 ms, late: first event after 700 ms, longest event gap 40 ms",
                "\"event\":\"refused\",\"status\":503,\"code\":2001,\"run\":\"not_run\",\"ms\":3,\"retry_after_ms\":400"
                        + "|it did not run, the caller may retry after 400 ms",
                "\"event\":\"refused\",\"status\":502,\"code\":3001,\"run\":\"unknown\",\"ms\":70"
                        + "|whether it ran is unknown",
                "\"event\":\"cut\",\"ms\":700,\"why\":\"connection closed\",\"event_id\":12"
                        + "|was cut off after 700 ms (connection closed), after event 12",
                "\"event\":\"caller_gone\",\"ms\":33|was abandoned by its caller after 33 ms",
                "\"event\":\"sent\",\"server\":\"s\"|has no end in these logs",
            })
    void summaryStatesHowTheRequestEnded(String end, String expected) {
        String summary =
                trace(ROUTED, line(1_100, 600, "h1", "\"id\":\"a\"," + end)).summary();
        assertTrue(summary.startsWith("Request a on route r1 of coop "), summary);
        assertTrue(summary.contains(expected), summary);
    }

    @Test
    void summaryListsFailedAttempts() {
        String summary = trace(
                        ROUTED,
                        line(
                                1_050,
                                550,
                                "h1",
                                "\"event\":\"attempt_failed\",\"id\":\"a\",\"server\":\"s-1\",\"attempt\":1,\"ms\":40,"
                                        + "\"end\":\"broken\",\"why\":\"connection closed\""),
                        line(1_100, 600, "h1", "\"event\":\"ended\",\"id\":\"a\",\"status\":200,\"ms\":90"))
                .summary();
        assertTrue(summary.contains("attempt 1 at s-1 failed after 40 ms: broken, connection closed"), summary);
    }

    /** Guards against sorting by wall clock: a request seems to end before it was sent when the clock steps back. */
    @Test
    void keepsTheOrderOfLinesOfOneProcessWhenItsClockStepsBack() {
        RequestTrace trace = trace(
                ROUTED,
                line(400, 510, "h1", "\"event\":\"sent\",\"id\":\"a\",\"server\":\"s\""),
                line(450, 560, "h1", "\"event\":\"ended\",\"id\":\"a\",\"status\":200,\"ms\":60"));
        assertEquals(
                List.of("routed", "sent", "ended"),
                trace.requestLines().stream().map(LogRecord::event).toList());
    }

    @Test
    void contextContainsEventsOfTheRequestsServersFromTheSameProcess() {
        RequestTrace trace = trace(
                line(100, 50, "h1", "\"event\":\"server_ejected\",\"server\":\"other\""),
                ROUTED,
                line(1_001, 501, "h1", "\"event\":\"sent\",\"id\":\"a\",\"server\":\"s\""),
                line(1_010, 510, "h2", "\"event\":\"server_gone\",\"server\":\"s\""),
                line(1_020, 520, "h1", "\"event\":\"server_gone\",\"server\":\"s\""),
                line(1_030, 530, "h1", "\"event\":\"cut\",\"id\":\"a\",\"ms\":30,\"why\":\"x\""),
                line(60_000, 59_500, "h1", "\"event\":\"server_gone\",\"server\":\"s\""));
        assertEquals(
                List.of("routed", "sent", "server_gone", "cut"),
                trace.linesWithContext().stream().map(LogRecord::event).toList());
    }

    /** Guards against comparing uptimes of different processes, which mixes in events from before a restart. */
    @Test
    void contextExcludesAnEarlierProcessOfTheSameHost() {
        RequestTrace trace = trace(
                line(100, 480, "h1", "\"event\":\"store_lost\""),
                line(200, 9_000, "h1", "\"event\":\"peer_lost\",\"server\":\"h2\""),
                line(900, 400, "h1", "\"event\":\"store_back\""),
                ROUTED);
        assertEquals(
                List.of("store_back", "routed"),
                trace.linesWithContext().stream().map(LogRecord::event).toList());
    }

    @Test
    void ignoresCollectorPrefixesAndTruncatedLines() {
        RequestTrace trace =
                trace(" 12.5 host-1 " + ROUTED, "{\"at\":1,\"event\":\"sent\",\"id\":\"a", "no line at all", "");
        assertEquals(1, trace.requestLines().size());
        assertFalse(trace.isEmpty());
        assertTrue(RequestTrace.of("b", List.of(LogFile.of(List.of(ROUTED)))).isEmpty());
    }

    @Test
    void summaryMentionsDroppedLines() {
        RequestTrace trace = trace(ROUTED, line(1_100, 600, "h1", "\"event\":\"log_dropped\",\"count\":17"));
        assertTrue(trace.summary().endsWith("17 lines were dropped by the processes"), trace.summary());
    }
}
