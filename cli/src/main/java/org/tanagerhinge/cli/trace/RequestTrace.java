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
 * One request's lines from the logs of all processes.
 *
 * <p>Lines of one process stay in the order in which they were written; between processes the time of day decides, which
 * may jump, so it never changes the order within one.
 */
public final class RequestTrace {
    /** What a process came to believe this long before a request may explain it, in milliseconds. */
    private static final long CONTEXT_BEFORE_MILLIS = 5_000;
    /** What it came to believe this long after a request's end may explain it too: a lost server is noticed late. */
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

    /** Returns what logs tell of a request. */
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

    /** The time since a process's start falls back where the next process of the same host begins. */
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

    /** Returns a process's lines about a request, and those about the servers that it was sent to at the time. */
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

    /** Returns the request's own lines, in order. */
    public List<LogRecord> requestLines() {
        return requestLines;
    }

    /** Returns the request's lines, and what the same processes came to believe of its servers around that time. */
    public List<LogRecord> linesWithContext() {
        return linesWithContext;
    }

    public int lineCount() {
        return lineCount;
    }

    /** Returns a remark on lines that the processes had to drop, empty if none. */
    public String dropped() {
        return dropped == 0 ? "" : "; " + dropped + " lines were dropped by the processes";
    }

    /** Says in a sentence how the request ended. */
    public String summary() {
        return RequestSummary.of(requestId, requestLines) + dropped();
    }
}
