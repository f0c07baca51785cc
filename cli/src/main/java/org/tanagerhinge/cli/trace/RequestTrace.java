package org.tanagerhinge.cli.trace;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tanagerhinge.node.log.LogEvent;
import org.tanagerhinge.node.log.LogField;

/**
 * Collects the log lines of one request from the logs of all processes.
 *
 * <p>Lines of one process keep the order in which they were written; lines of different processes are merged by
 * wall-clock time, which may jump and therefore never reorders the lines of one process.
 */
public final class RequestTrace {
    /** How long before a request's first line events of the same process count as context. */
    private static final long CONTEXT_BEFORE_MILLIS = 5_000;
    /** How long after a request's last line events count as context; the loss of a server is detected with delay. */
    private static final long CONTEXT_AFTER_MILLIS = 2_000;

    private final String requestId;
    private final List<LogRecord> requestLines;
    private final List<LogRecord> linesWithContext;
    private final int lineCount;
    private final long dropped;

    private RequestTrace(
            String requestId,
            List<LogRecord> requestLines,
            List<LogRecord> linesWithContext,
            int lineCount,
            long dropped) {
        this.requestId = requestId;
        this.requestLines = requestLines;
        this.linesWithContext = linesWithContext;
        this.lineCount = lineCount;
        this.dropped = dropped;
    }

    /** Returns the trace of a request from the given logs. */
    public static RequestTrace of(String requestId, List<LogFile> logs) {
        Map<String, List<List<LogRecord>>> byNode = new LinkedHashMap<>();
        int lineCount = 0;
        long dropped = 0;
        for (LogFile log : logs) {
            for (LogRecord line : log.records()) {
                lineCount++;
                addToProcess(byNode.computeIfAbsent(line.node(), node -> new ArrayList<>()), line);
                if (line.event().equals(LogEvent.LOG_DROPPED.label())) {
                    dropped += line.number(LogField.COUNT);
                }
            }
        }
        List<List<LogRecord>> requestLinesByProcess = new ArrayList<>();
        List<List<LogRecord>> contextLinesByProcess = new ArrayList<>();
        for (List<LogRecord> processLines :
                byNode.values().stream().flatMap(List::stream).toList()) {
            List<LogRecord> requestLines = processLines.stream()
                    .filter(line -> line.text(LogField.ID).equals(requestId))
                    .toList();
            if (!requestLines.isEmpty()) {
                requestLinesByProcess.add(requestLines);
                contextLinesByProcess.add(withContext(processLines, requestLines));
            }
        }
        return new RequestTrace(
                requestId, mergeByTime(requestLinesByProcess), mergeByTime(contextLinesByProcess), lineCount, dropped);
    }

    /** Adds a line to the newest process of a host, or to a new one if the uptime has decreased. */
    private static void addToProcess(List<List<LogRecord>> processes, LogRecord line) {
        List<LogRecord> newestProcess = processes.isEmpty() ? List.of() : processes.get(processes.size() - 1);
        if (newestProcess.isEmpty()
                || line.uptimeMillis()
                        < newestProcess.get(newestProcess.size() - 1).uptimeMillis()) {
            newestProcess = new ArrayList<>();
            processes.add(newestProcess);
        }
        newestProcess.add(line);
    }

    /** Returns a process's lines of a request, and events of its servers, peers and store around that time. */
    private static List<LogRecord> withContext(List<LogRecord> processLines, List<LogRecord> requestLines) {
        Set<String> servers = new HashSet<>();
        requestLines.forEach(line -> servers.add(line.text(LogField.SERVER)));
        servers.remove("");
        long fromMillis = requestLines.get(0).uptimeMillis() - CONTEXT_BEFORE_MILLIS;
        long toMillis = requestLines.get(requestLines.size() - 1).uptimeMillis() + CONTEXT_AFTER_MILLIS;
        Set<LogRecord> requestLineSet = new HashSet<>(requestLines);
        return processLines.stream()
                .filter(line -> requestLineSet.contains(line)
                        || (line.uptimeMillis() >= fromMillis
                                && line.uptimeMillis() <= toMillis
                                && isContext(line, servers)))
                .toList();
    }

    private static boolean isContext(LogRecord line, Set<String> servers) {
        if (line.has(LogField.ID)) {
            return false;
        }
        String event = line.event();
        if (event.startsWith("server_")) {
            return servers.contains(line.text(LogField.SERVER));
        }
        return event.startsWith("store_")
                || event.startsWith("peer_")
                || event.equals(LogEvent.CONFIGURATION.label())
                || event.equals(LogEvent.STOPPING.label())
                || event.equals(LogEvent.LOG_DROPPED.label());
    }

    private static List<LogRecord> mergeByTime(List<List<LogRecord>> processes) {
        Map<Integer, Deque<LogRecord>> remaining = new HashMap<>();
        for (int i = 0; i < processes.size(); i++) {
            remaining.put(i, new ArrayDeque<>(processes.get(i)));
        }
        List<LogRecord> lines = new ArrayList<>();
        while (true) {
            Deque<LogRecord> next = null;
            for (Deque<LogRecord> queue : remaining.values()) {
                if (!queue.isEmpty()
                        && (next == null
                                || queue.peekFirst().wallClockMillis()
                                        < next.peekFirst().wallClockMillis())) {
                    next = queue;
                }
            }
            if (next == null) {
                return lines;
            }
            lines.add(next.pollFirst());
        }
    }

    public boolean isEmpty() {
        return requestLines.isEmpty();
    }

    /** Returns the lines of the request, in order. */
    public List<LogRecord> requestLines() {
        return requestLines;
    }

    /** Returns the lines of the request, and related events that the same processes logged around that time. */
    public List<LogRecord> linesWithContext() {
        return linesWithContext;
    }

    public int lineCount() {
        return lineCount;
    }

    /** Returns a note on the number of lines that the processes dropped, empty if none. */
    public String dropped() {
        return dropped == 0 ? "" : "; " + dropped + " lines were dropped by the processes";
    }

    /** Returns one sentence on how the request ended. */
    public String summary() {
        return RequestSummary.of(requestId, requestLines) + dropped();
    }
}
