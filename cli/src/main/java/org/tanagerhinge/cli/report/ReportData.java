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
 * What the lines of logs come to, by second.
 *
 * <p>Seconds count from the earliest line of all. Hosts whose clocks differ, or jump, put their lines into other seconds than
 * they belong to; lines far before or after the others are left out and counted, or one wrong clock would stretch all plots.
 */
final class ReportData {
    /** Longest time that a page shows: longer ones are read in parts. */
    private static final int MOST_SECONDS = 3_600;
    /** Longest time to a first event that is told apart, in milliseconds. */
    private static final long MOST_FIRST_MILLIS = 600_000;
    /** Characters of a refusal's reason by which reasons are told apart; numbers in them differ from request to request. */
    private static final int REASON = 40;

    /** How a request ended. */
    enum Outcome {
        ON_TIME("on time"),
        LATE("late"),
        REFUSED("refused"),
        BROKEN("cut off"),
        LEFT("left by the caller");

        private final String label;

        Outcome(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    /** Something that a process came to believe or did, and on how many hosts within one second. */
    record Happening(int second, String what, int hosts) {}

    private final Map<Outcome, Timeline> outcomes = new LinkedHashMap<>();
    private final Map<Integer, Histogram> firstEvents = new TreeMap<>();
    private final Map<String, Timeline> readingByServer = new TreeMap<>();
    private final Map<String, Timeline> runningByServer = new TreeMap<>();
    private final Map<String, Timeline> listAgeByNode = new TreeMap<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private final Map<Integer, Map<String, Set<String>>> happenings = new TreeMap<>();
    private final Timeline fetched = Timeline.empty();
    private int lines;
    private int leftOut;

    private ReportData() {
        for (Outcome outcome : Outcome.values()) {
            outcomes.put(outcome, Timeline.empty());
        }
    }

    /** Returns what logs come to; nothing if no line tells of an event. */
    static Optional<ReportData> of(List<LogFile> files) {
        List<LogRecord> records = new ArrayList<>();
        files.forEach(file -> records.addAll(file.records()));
        if (records.isEmpty()) {
            return Optional.empty();
        }
        long[] times = records.stream().mapToLong(LogRecord::at).sorted().toArray();
        long middle = times[times.length / 2];
        long reach = MOST_SECONDS * 1000L / 2;
        long from = middle;
        for (long time : times) {
            if (time >= middle - reach) {
                from = time;
                break;
            }
        }
        ReportData data = new ReportData();
        for (LogRecord record : records) {
            long second = Math.floorDiv(record.at() - from, 1000L);
            if (second < 0 || second >= MOST_SECONDS) {
                data.leftOut++;
            } else {
                data.lines++;
                data.take(record, (int) second);
            }
        }
        return Optional.of(data);
    }

    private void take(LogRecord line, int second) {
        LogEvent event = event(line);
        if (event == null) {
            return;
        }
        switch (event) {
            case ENDED -> ended(line, second);
            case REFUSED -> refused(line, second);
            case CUT -> outcomes.get(Outcome.BROKEN).add(second, 1);
            case CALLER_GONE -> outcomes.get(Outcome.LEFT).add(second, 1);
            case SENT -> sent(line, second);
            case ROUTED ->
                listAgeByNode
                        .computeIfAbsent(line.node(), node -> Timeline.empty())
                        .atLeast(second, line.number(LogField.SERVERS_AGE_MS));
            default -> {
                if (!line.has(LogField.ID)) {
                    happened(line, second);
                }
            }
        }
    }

    private static LogEvent event(LogRecord line) {
        for (LogEvent event : LogEvent.values()) {
            if (event.label().equals(line.event())) {
                return event;
            }
        }
        return null;
    }

    private void ended(LogRecord line, int second) {
        boolean late = line.text(LogField.LATE).equals("true");
        outcomes.get(late ? Outcome.LATE : Outcome.ON_TIME).add(second, 1);
        if (line.has(LogField.FIRST_MS)) {
            firstEvents
                    .computeIfAbsent(second, key -> new Histogram(MOST_FIRST_MILLIS, 2))
                    .recordValue(Math.min(MOST_FIRST_MILLIS, Math.max(0, line.number(LogField.FIRST_MS))));
        }
    }

    private void refused(LogRecord line, int second) {
        outcomes.get(Outcome.REFUSED).add(second, 1);
        int code = (int) line.number(LogField.CODE);
        String meaning = ResultCode.ofNumber(code).map(ResultCode::meaning).orElse("unknown code");
        String why = line.text(LogField.WHY).replaceAll("[0-9]+", "N");
        String reason = why.isEmpty() ? meaning : meaning + ": " + why.substring(0, Math.min(REASON, why.length()));
        refusals.merge(code + " " + reason, 1, Integer::sum);
    }

    private void sent(LogRecord line, int second) {
        String server = line.text(LogField.SERVER);
        readingByServer.computeIfAbsent(server, id -> Timeline.empty()).atLeast(second, line.number(LogField.READING));
        runningByServer.computeIfAbsent(server, id -> Timeline.empty()).atLeast(second, line.number(LogField.RUNNING));
        fetched.add(second, line.number(LogField.FETCH));
    }

    private void happened(LogRecord line, int second) {
        String server = line.text(LogField.SERVER);
        String why = line.text(LogField.WHY);
        StringBuilder what = new StringBuilder(line.event());
        if (!server.isEmpty()) {
            what.append(' ').append(server);
        }
        if (line.has(LogField.CONFIG)) {
            what.append(" version ").append(line.number(LogField.CONFIG));
        }
        // The address that a process listens at differs on each host, and says nothing of what happened.
        if (!why.isEmpty() && event(line) != LogEvent.STARTED) {
            what.append(": ").append(why);
        }
        happenings
                .computeIfAbsent(second, key -> new TreeMap<>())
                .computeIfAbsent(what.toString(), key -> new LinkedHashSet<>())
                .add(line.node());
    }

    int lines() {
        return lines;
    }

    /** Returns how many lines were left out, since their time is far from that of the others. */
    int leftOut() {
        return leftOut;
    }

    Map<Outcome, Timeline> outcomes() {
        return outcomes;
    }

    /** Returns times to the first events of answers that ended in a second, in milliseconds. */
    Map<Integer, Histogram> firstEvents() {
        return firstEvents;
    }

    /** Returns the most prompt tokens that a server was believed to have still to read, by second. */
    Map<String, Timeline> readingByServer() {
        return readingByServer;
    }

    /** Returns the most requests that a server was believed to have, by second. */
    Map<String, Timeline> runningByServer() {
        return runningByServer;
    }

    /** Returns the greatest age of the list of servers that a host decided on, by second, in milliseconds. */
    Map<String, Timeline> listAgeByNode() {
        return listAgeByNode;
    }

    /** Returns the prompt tokens that servers were told to fetch from others, by second. */
    Timeline fetched() {
        return fetched;
    }

    Map<String, Integer> refusals() {
        return refusals;
    }

    List<Happening> happenings() {
        List<Happening> list = new ArrayList<>();
        happenings.forEach((second, inSecond) ->
                inSecond.forEach((what, hosts) -> list.add(new Happening(second, what, hosts.size()))));
        return list;
    }
}
