package org.tanagerhinge.cli.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.tanagerhinge.cli.trace.LogFile;
import org.tanagerhinge.cli.trace.LogRecord;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;

/**
 * Aggregates log records into per-second data for a report.
 *
 * <p>Seconds count from the earliest line, by the wall clocks of the hosts. Lines far from the median time are excluded
 * and counted, since one host with a wrong clock would otherwise stretch the time axis of all plots.
 */
final class ReportData {
    /** Longest time span of a report, in seconds. */
    private static final int MAX_SPAN_SECONDS = 3_600;
    /** Upper bound of the histogram of times to the first event; longer times are recorded as this value. */
    private static final long MAX_FIRST_EVENT_MILLIS = 600_000;
    /** Number of characters of the details that distinguish refusal reasons. */
    private static final int MAX_REASON_LENGTH = 40;

    /** Outcome of a request. */
    enum Outcome {
        ON_TIME("on time"),
        LATE("late"),
        REFUSED("refused"),
        BROKEN("cut off"),
        ABANDONED("abandoned by the caller");

        private final String label;

        Outcome(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    /** An event that does not belong to a request, and the number of hosts that logged it within one second. */
    record FleetEvent(int second, String description, int hostCount) {}

    private final Map<Outcome, Timeline> outcomes = new LinkedHashMap<>();
    private final Map<Integer, Histogram> firstEvents = new TreeMap<>();
    private final Map<String, Timeline> tokensToPrefillByServer = new TreeMap<>();
    private final Map<String, Timeline> inFlightByServer = new TreeMap<>();
    private final Map<String, Timeline> serverListAgeByNode = new TreeMap<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private final Map<Integer, Map<String, Set<String>>> fleetEvents = new TreeMap<>();
    private final Timeline fetchedTokens = Timeline.empty();
    private int lineCount;
    private int excludedLineCount;

    private ReportData() {
        for (Outcome outcome : Outcome.values()) {
            outcomes.put(outcome, Timeline.empty());
        }
    }

    /** Returns the aggregated data of the logs; empty if no line has an event. */
    static Optional<ReportData> of(List<LogFile> logs) {
        List<LogRecord> records = new ArrayList<>();
        logs.forEach(log -> records.addAll(log.records()));
        if (records.isEmpty()) {
            return Optional.empty();
        }
        long[] timesMillis =
                records.stream().mapToLong(LogRecord::wallClockMillis).sorted().toArray();
        long medianMillis = timesMillis[timesMillis.length / 2];
        long halfSpanMillis = MAX_SPAN_SECONDS * 1000L / 2;
        long startMillis = medianMillis;
        for (long timeMillis : timesMillis) {
            if (timeMillis >= medianMillis - halfSpanMillis) {
                startMillis = timeMillis;
                break;
            }
        }
        ReportData data = new ReportData();
        for (LogRecord record : records) {
            long second = Math.floorDiv(record.wallClockMillis() - startMillis, 1000L);
            if (second < 0 || second >= MAX_SPAN_SECONDS) {
                data.excludedLineCount++;
            } else {
                data.lineCount++;
                data.addRecord(record, (int) second);
            }
        }
        return Optional.of(data);
    }

    private void addRecord(LogRecord line, int second) {
        LogEvent event = eventOf(line);
        if (event == null) {
            return;
        }
        switch (event) {
            case ENDED -> addEnded(line, second);
            case REFUSED -> addRefused(line, second);
            case CUT -> outcomes.get(Outcome.BROKEN).add(second, 1);
            case CALLER_GONE -> outcomes.get(Outcome.ABANDONED).add(second, 1);
            case SENT -> addSent(line, second);
            case ROUTED ->
                serverListAgeByNode
                        .computeIfAbsent(line.node(), node -> Timeline.empty())
                        .raiseTo(second, line.number(LogField.SERVERS_AGE_MS));
            default -> {
                if (!line.has(LogField.ID)) {
                    addFleetEvent(line, second);
                }
            }
        }
    }

    private static LogEvent eventOf(LogRecord line) {
        for (LogEvent event : LogEvent.values()) {
            if (event.label().equals(line.event())) {
                return event;
            }
        }
        return null;
    }

    private void addEnded(LogRecord line, int second) {
        boolean late = line.text(LogField.LATE).equals("true");
        outcomes.get(late ? Outcome.LATE : Outcome.ON_TIME).add(second, 1);
        if (line.has(LogField.FIRST_MS)) {
            firstEvents
                    .computeIfAbsent(second, key -> new Histogram(MAX_FIRST_EVENT_MILLIS, 2))
                    .recordValue(Math.min(MAX_FIRST_EVENT_MILLIS, Math.max(0, line.number(LogField.FIRST_MS))));
        }
    }

    private void addRefused(LogRecord line, int second) {
        outcomes.get(Outcome.REFUSED).add(second, 1);
        int code = (int) line.number(LogField.CODE);
        String meaning = ResultCode.ofNumber(code).map(ResultCode::meaning).orElse("unknown code");
        String details = line.text(LogField.WHY).replaceAll("[0-9]+", "N");
        String reason = details.isEmpty()
                ? meaning
                : meaning + ": " + details.substring(0, Math.min(MAX_REASON_LENGTH, details.length()));
        refusals.merge(code + " " + reason, 1, Integer::sum);
    }

    private void addSent(LogRecord line, int second) {
        String server = line.text(LogField.SERVER);
        tokensToPrefillByServer
                .computeIfAbsent(server, id -> Timeline.empty())
                .raiseTo(second, line.number(LogField.READING));
        inFlightByServer.computeIfAbsent(server, id -> Timeline.empty()).raiseTo(second, line.number(LogField.RUNNING));
        fetchedTokens.add(second, line.number(LogField.FETCH));
    }

    private void addFleetEvent(LogRecord line, int second) {
        String server = line.text(LogField.SERVER);
        String details = line.text(LogField.WHY);
        StringBuilder description = new StringBuilder(line.event());
        if (!server.isEmpty()) {
            description.append(' ').append(server);
        }
        if (line.has(LogField.CONFIG)) {
            description.append(" version ").append(line.number(LogField.CONFIG));
        }
        // The details of a start are the listen address, which differs per host and would prevent merging into one row.
        if (!details.isEmpty() && eventOf(line) != LogEvent.STARTED) {
            description.append(": ").append(details);
        }
        fleetEvents
                .computeIfAbsent(second, key -> new TreeMap<>())
                .computeIfAbsent(description.toString(), key -> new LinkedHashSet<>())
                .add(line.node());
    }

    int lineCount() {
        return lineCount;
    }

    /** Returns the number of lines excluded because their time is too far from the median. */
    int excludedLineCount() {
        return excludedLineCount;
    }

    Map<Outcome, Timeline> outcomes() {
        return outcomes;
    }

    /** Returns the times to the first event in milliseconds, by the second in which the response ended. */
    Map<Integer, Histogram> firstEvents() {
        return firstEvents;
    }

    /** Returns the maximum number of prompt tokens to prefill per server, as known to the sending hosts, by second. */
    Map<String, Timeline> tokensToPrefillByServer() {
        return tokensToPrefillByServer;
    }

    /** Returns the maximum number of requests in flight per server, as known to the sending hosts, by second. */
    Map<String, Timeline> inFlightByServer() {
        return inFlightByServer;
    }

    /** Returns the maximum age of the server list used for routing per host, in milliseconds, by second. */
    Map<String, Timeline> serverListAgeByNode() {
        return serverListAgeByNode;
    }

    /** Returns the number of prompt tokens that servers were told to fetch from other servers, by second. */
    Timeline fetchedTokens() {
        return fetchedTokens;
    }

    Map<String, Integer> refusals() {
        return refusals;
    }

    List<FleetEvent> fleetEvents() {
        List<FleetEvent> events = new ArrayList<>();
        fleetEvents.forEach((second, hostsByDescription) -> hostsByDescription.forEach(
                (description, hosts) -> events.add(new FleetEvent(second, description, hosts.size()))));
        return events;
    }
}
